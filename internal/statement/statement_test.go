package statement

import "testing"

func TestGroup(t *testing.T) {
	for text, want := range map[string]int64{
		"select * from sales_17.orders":                                 17,
		"SELECT a_3.x FROM Sales_17.Orders a_3":                         17,
		"insert into s_2.t select * from staging.raw":                   2,
		"select * from staging.raw join s_4.t on true":                  4,
		`select "a_1.b", 'from x_2.y' from "Sales_30"."Or""ders"`:       30,
		"select 'it''s from x_2.y' /* from x_3.y /* a */ */ from z_5.t": 5,
		"select 1 -- from x_2.y\nfrom z_6.t":                            6,
		`select E'\' from x_2.y' from z_7.t`:                            7,
		"select $a$ from x_2.y $a$ from z_8.t":                          8,
		"update only z_9 . t set a = 1.5":                               9,
		"copy db.north_east_12.t from stdin":                            12,
		"delete from plain.t":                                           -1,
		"select 'unfinished from x_2.y":                                 -1,
		"select /* unfinished x_2.y":                                    -1,
		"select * from x_.t":                                            -1,
		"select * from x_99999999999999999999.t":                        -1,
		"":                                                              -1,
	} {
		if got := TableGroup(text); got != want {
			t.Errorf("%s: group %d, want %d", text, got, want)
		}
	}
}

func FuzzGroup(f *testing.F) {
	f.Add(`select "a" from x_1.t -- b`)
	f.Add("$$ E'\\' /* ")
	f.Fuzz(func(t *testing.T, text string) {
		if TableGroup(text) < -1 {
			t.Fatal("group is below -1")
		}
	})
}
