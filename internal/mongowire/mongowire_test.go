package mongowire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strings"
	"testing"
)

// document is one of a size: length, filling, end.
func document(size int) []byte {
	d := append(binary.LittleEndian.AppendUint32(nil, uint32(size)), bytes.Repeat([]byte{'x'}, size-5)...)
	return append(d, 0)
}

func TestMsg(t *testing.T) {
	for _, flags := range []Flags{0, ChecksumPresent, MoreToCome, ExhaustAllowed | ChecksumPresent, 1 << 20} {
		m := AppendMsg([]byte("before"), 7, 3, flags, document(9), Sequence{"documents", [][]byte{document(5), document(20)}},
			Sequence{"updates", nil})[6:]
		h, body, err := Next(append(bytes.Clone(m), "behind"...), MostSize)
		if err != nil || h != (Header{len(m), 7, 3, OpMsg}) || len(body) != len(m)-HeadSize {
			t.Fatal(h, err)
		}
		var got []string
		f, command, err := Msg(m, func(name, d []byte) { got = append(got, string(name)+strings.Repeat(".", len(d))) })
		if err != nil || f != flags || !bytes.Equal(command, document(9)) ||
			strings.Join(got, " ") != "documents..... documents...................." {
			t.Error(f, command, got, err)
		}
	}
}

// TestFaulty: each is told for what it is, and nothing of it is handed over.
func TestFaulty(t *testing.T) {
	good := AppendMsg(nil, 1, 0, ChecksumPresent, document(9), Sequence{"documents", [][]byte{document(8)}})
	change := func(at int, value ...byte) []byte {
		m := bytes.Clone(good)
		copy(m[at:], value)
		return m
	}
	plain := func(parts ...[]byte) []byte {
		return append(make([]byte, HeadSize), bytes.Join(append([][]byte{{0, 0, 0, 0}}, parts...), nil)...)
	}
	for _, c := range []struct {
		name string
		m    []byte
		want error
	}{
		{"flipped byte", change(30, 'y'), ErrChecksum},
		{"unknown required flag", change(HeadSize, 5), ErrFlags},
		{"no flags", good[:HeadSize+3], ErrSection},
		{"no room for the checksum", append(make([]byte, HeadSize), 1, 0, 0, 0, 9), ErrChecksum},
		{"no section", plain(), ErrSection},
		{"unknown kind", plain([]byte{2}, document(5)), ErrSection},
		{"two commands", plain([]byte{0}, document(5), []byte{0}, document(5)), ErrSection},
		{"half a document", plain([]byte{0}, document(9)[:8]), ErrSection},
		{"negative length", plain([]byte{0, 0xff, 0xff, 0xff, 0xff, 0, 0}), ErrSection},
		{"length of four", plain([]byte{0, 4, 0, 0, 0, 0}), ErrSection},
		{"document without an end", plain([]byte{0, 5, 0, 0, 0, 1}), ErrSection},
		{"sequence longer than the message", plain([]byte{0}, document(5), []byte{1, 99, 0, 0, 0, 'a', 0}), ErrSection},
		{"negative sequence", plain([]byte{0}, document(5), []byte{1, 0, 0, 0, 0x80, 'a', 0}), ErrSection},
		{"sequence without a name", plain([]byte{0}, document(5), []byte{1, 6, 0, 0, 0, 0, 0}), ErrSection},
		{"name without an end", plain([]byte{0}, document(5), []byte{1, 6, 0, 0, 0, 'a', 'b'}), ErrSection},
		{"only a sequence", plain([]byte{1, 6, 0, 0, 0, 'a', 0}), ErrSection},
		{"good command, then half a sequence", plain([]byte{0}, document(5), []byte{1, 10, 0, 0, 0, 'a', 0, 5, 0, 0}), ErrSection},
	} {
		handed := 0
		if _, _, err := Msg(c.m, func(_, _ []byte) { handed++ }); !errors.Is(err, c.want) || handed > 0 {
			t.Errorf("%s: %v, %d handed over", c.name, err, handed)
		}
	}
	for _, size := range []uint32{0, 15, MostSize + 1, 0x80000000, 0xffffffff} {
		if _, _, err := Next(binary.LittleEndian.AppendUint32(nil, size), MostSize); !errors.Is(err, ErrSize) {
			t.Errorf("%d: %v", size, err)
		}
	}
	if h, _, err := Next(good[:len(good)-1], MostSize); h.Size != 0 || err != nil {
		t.Error(h, err)
	}
	if _, _, err := Next(good, len(good)-1); !errors.Is(err, ErrSize) { // a smaller bound of ours
		t.Error(err)
	}
}

func FuzzMsg(f *testing.F) {
	f.Add(AppendMsg(nil, 1, 0, ChecksumPresent, document(9), Sequence{"documents", [][]byte{document(8)}}))
	f.Add(AppendMsg(nil, 1, 0, MoreToCome, document(5)))
	f.Fuzz(func(t *testing.T, data []byte) {
		h, _, err := Next(data, 1<<20)
		if err != nil || h.Size == 0 || h.Op != OpMsg {
			return
		}
		var list []Sequence
		flags, command, err := Msg(data[:h.Size], func(name, d []byte) {
			if n := len(list); n == 0 || list[n-1].Name != string(name) {
				list = append(list, Sequence{Name: string(name)})
			}
			list[len(list)-1].Documents = append(list[len(list)-1].Documents, d)
		})
		if err != nil {
			return
		}
		again := AppendMsg(nil, h.Request, h.Response, flags, command, list...)
		if f2, c2, err := Msg(again, nil); err != nil || f2 != flags || !bytes.Equal(c2, command) {
			t.Errorf("%v %v %v", f2, c2, err)
		}
	})
}
