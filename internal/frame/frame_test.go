package frame

import (
	"bytes"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// jobFrame returns a Job frame with two fields and a body.
func jobFrame(stream uint32, body string) []byte {
	payload := AppendField(AppendField([]byte{2}, "class", "quick"), "wait", "1500")
	payload = append(payload, body...)
	return append(AppendHeader(nil, Job, stream, len(payload)), payload...)
}

func TestNext(t *testing.T) {
	data := append(jobFrame(7, "select 1"), jobFrame(8, "")...)
	var got []string
	for len(data) > 0 {
		kind, stream, payload, size, err := Next(data)
		if err != nil || size == 0 || kind != Job {
			t.Fatal(kind, size, err)
		}
		body, err := ParseFields(payload, func(name, value []byte) { got = append(got, string(name)+"="+string(value)) })
		if err != nil {
			t.Fatal(err)
		}
		got = append(got, string(rune('0'+stream))+":"+string(body))
		data = data[size:]
	}
	want := []string{"class=quick", "wait=1500", "7:select 1", "class=quick", "wait=1500", "8:"}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Error(diff)
	}
}

func TestFaulty(t *testing.T) {
	for name, data := range map[string][]byte{"length below the minimum": {0, 0, 0, 4, 1, 0, 0, 0}, "length above the maximum": {0, 4, 0, 1}} {
		if _, _, _, size, err := Next(data); err == nil || size != 0 {
			t.Errorf("%s: size %d, %v", name, size, err)
		}
	}
	for _, payload := range [][]byte{{}, {1}, {1, 2, 'a'}, {1, 1, 'a', 0}, {1, 1, 'a', 0, 2, 'x'}} {
		if _, err := ParseFields(payload, func(_, _ []byte) {}); err == nil {
			t.Errorf("%v: accepted", payload)
		}
	}
}

// FuzzNext checks that Next accepts no incomplete frame, and that payload and body are the expected parts of the input.
func FuzzNext(f *testing.F) {
	f.Add(jobFrame(1, "select * from sales_17.orders"))
	f.Add([]byte{0, 0, 0, 5, 110, 0, 0, 0, 1, 0, 0, 0, 6})
	f.Fuzz(func(t *testing.T, data []byte) {
		_, _, payload, size, err := Next(data)
		if err != nil || size == 0 {
			return
		}
		if _, _, _, early, err := Next(data[:size-1]); early != 0 || err != nil {
			t.Fatal("frame accepted before it was complete", early, err)
		}
		if !bytes.Equal(payload, data[HeaderBytes:size]) {
			t.Fatal("payload is not what follows the head")
		}
		if body, err := ParseFields(payload, func(_, _ []byte) {}); err == nil && !bytes.HasSuffix(payload, body) {
			t.Fatal("body is not the end of the payload")
		}
	})
}

// TestParseFieldsLongestName guards against a field name of 255 bytes, which the protocol allows, that ended the
// connection: its length overflowed a byte.
func TestParseFieldsLongestName(t *testing.T) {
	longest := string(bytes.Repeat([]byte("n"), 255))
	payload := append(AppendField([]byte{1}, longest, "value"), "body"...)
	visited := 0
	body, err := ParseFields(payload, func(name, value []byte) {
		if visited++; string(name) != longest || string(value) != "value" {
			t.Errorf("%q=%q", name, value)
		}
	})
	if err != nil || visited != 1 || string(body) != "body" {
		t.Error(visited, string(body), err)
	}
}
