package resp

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestNext(t *testing.T) {
	data := AppendArrayHeader(nil, 3)
	for _, word := range []string{"serve", "", "a\r\nb"} {
		data = AppendBulkString(data, word)
	}
	for n := range data {
		if _, size, err := Next(data[:n], nil); size != 0 || err != nil {
			t.Fatal("array accepted before it was complete", n, err)
		}
	}
	words, size, err := Next(append(data, '*'), nil)
	if err != nil || size != len(data) {
		t.Fatal(size, err)
	}
	if diff := cmp.Diff([][]byte{[]byte("serve"), {}, []byte("a\r\nb")}, words); diff != "" {
		t.Error(diff)
	}
}

func TestFaulty(t *testing.T) {
	for _, data := range []string{"+OK\r\n", "*x\r\n", "*17\r\n", "*1\r\n$65537\r\n", "*1\r\n$1\r\nab\r", "*1\r\n:1\r\n",
		"*\r\n", "*1\rx"} {
		if _, size, err := Next([]byte(data), nil); err == nil || size != 0 {
			t.Errorf("%q: size %d, %v", data, size, err)
		}
	}
}

func TestFields(t *testing.T) {
	var got []string
	add := func(name, value []byte) { got = append(got, string(name)+" is "+string(value)) }
	ParsePairs([]byte("count=2,faulty,stats=util:0.5;queue:1"), add)
	ParsePairs([]byte("-"), add)
	ParsePairsSeparatedBy([]byte("util:0.5;queue:1"), ';', ':', add)
	want := []string{"count is 2", "stats is util:0.5;queue:1", "util is 0.5", "queue is 1"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func FuzzNext(f *testing.F) {
	f.Add([]byte("*2\r\n$3\r\nHIT\r\n$0\r\n\r\n"))
	f.Add([]byte("*1\r\n$99999\r\n"))
	f.Fuzz(func(t *testing.T, data []byte) {
		words, size, err := Next(data, nil)
		if err != nil || size == 0 {
			return
		}
		if _, early, err := Next(data[:size-1], nil); early != 0 || err != nil {
			t.Fatal("array accepted before it was complete", early, err)
		}
		encoded := AppendArrayHeader(nil, len(words))
		for _, word := range words {
			encoded = AppendBulkString(encoded, string(word))
		}
		if decoded, _, err := Next(encoded, nil); err != nil || !cmp.Equal(words, decoded) {
			t.Fatal("decoding the encoded words gave other words", err)
		}
	})
}
