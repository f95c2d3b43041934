package mongowire

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strings"
	"testing"
)

// document returns a document of size bytes: length, arbitrary content and a final zero byte.
func document(size int) []byte {
	content := append(binary.LittleEndian.AppendUint32(nil, uint32(size)), bytes.Repeat([]byte{'x'}, size-5)...)
	return append(content, 0)
}

func TestMsg(t *testing.T) {
	for _, flags := range []Flags{0, ChecksumPresent, MoreToCome, ExhaustAllowed | ChecksumPresent, 1 << 20} {
		encoded := AppendMsg([]byte("before"), 7, 3, flags, document(9), Sequence{"documents", [][]byte{document(5), document(20)}},
			Sequence{"updates", nil})[6:]
		header, body, err := Next(append(bytes.Clone(encoded), "behind"...), MaxMessageBytes)
		if err != nil || header != (Header{len(encoded), 7, 3, OpMsg}) || len(body) != len(encoded)-HeaderBytes {
			t.Fatal(header, err)
		}
		var got []string
		flagsRead, command, err := ParseMsg(encoded, func(name, content []byte) { got = append(got, string(name)+strings.Repeat(".", len(content))) })
		if err != nil || flagsRead != flags || !bytes.Equal(command, document(9)) ||
			strings.Join(got, " ") != "documents..... documents...................." {
			t.Error(flagsRead, command, got, err)
		}
	}
}

// TestFaulty checks that each malformed message gets the error for its fault, and that visit is called for none of its documents.
func TestFaulty(t *testing.T) {
	good := AppendMsg(nil, 1, 0, ChecksumPresent, document(9), Sequence{"documents", [][]byte{document(8)}})
	patched := func(offset int, value ...byte) []byte {
		input := bytes.Clone(good)
		copy(input[offset:], value)
		return input
	}
	message := func(parts ...[]byte) []byte {
		return append(make([]byte, HeaderBytes), bytes.Join(append([][]byte{{0, 0, 0, 0}}, parts...), nil)...)
	}
	for _, c := range []struct {
		name  string
		input []byte
		want  error
	}{
		{"flipped byte", patched(30, 'y'), ErrChecksum},
		{"unknown required flag", patched(HeaderBytes, 5), ErrFlags},
		{"no flags", good[:HeaderBytes+3], ErrSection},
		{"message too short for a checksum", append(make([]byte, HeaderBytes), 1, 0, 0, 0, 9), ErrChecksum},
		{"no section", message(), ErrSection},
		{"unknown kind", message([]byte{2}, document(5)), ErrSection},
		{"two command documents", message([]byte{0}, document(5), []byte{0}, document(5)), ErrSection},
		{"truncated document", message([]byte{0}, document(9)[:8]), ErrSection},
		{"negative document length", message([]byte{0, 0xff, 0xff, 0xff, 0xff, 0, 0}), ErrSection},
		{"document length of four", message([]byte{0, 4, 0, 0, 0, 0}), ErrSection},
		{"document without a final zero byte", message([]byte{0, 5, 0, 0, 0, 1}), ErrSection},
		{"sequence longer than the message", message([]byte{0}, document(5), []byte{1, 99, 0, 0, 0, 'a', 0}), ErrSection},
		{"negative sequence size", message([]byte{0}, document(5), []byte{1, 0, 0, 0, 0x80, 'a', 0}), ErrSection},
		{"sequence without a name", message([]byte{0}, document(5), []byte{1, 6, 0, 0, 0, 0, 0}), ErrSection},
		{"sequence name without a final zero byte", message([]byte{0}, document(5), []byte{1, 6, 0, 0, 0, 'a', 'b'}), ErrSection},
		{"no command document", message([]byte{1, 6, 0, 0, 0, 'a', 0}), ErrSection},
		{"valid command, truncated sequence", message([]byte{0}, document(5), []byte{1, 10, 0, 0, 0, 'a', 0, 5, 0, 0}), ErrSection},
	} {
		visited := 0
		if _, _, err := ParseMsg(c.input, func(_, _ []byte) { visited++ }); !errors.Is(err, c.want) || visited > 0 {
			t.Errorf("%s: error %v, %d documents visited", c.name, err, visited)
		}
	}
	for _, size := range []uint32{0, 15, MaxMessageBytes + 1, 0x80000000, 0xffffffff} {
		if _, _, err := Next(binary.LittleEndian.AppendUint32(nil, size), MaxMessageBytes); !errors.Is(err, ErrSize) {
			t.Errorf("size %d: %v", size, err)
		}
	}
	if header, _, err := Next(good[:len(good)-1], MaxMessageBytes); header.Size != 0 || err != nil {
		t.Error(header, err)
	}
	if _, _, err := Next(good, len(good)-1); !errors.Is(err, ErrSize) { // a limit below the protocol's
		t.Error(err)
	}
}

func FuzzMsg(f *testing.F) {
	f.Add(AppendMsg(nil, 1, 0, ChecksumPresent, document(9), Sequence{"documents", [][]byte{document(8)}}))
	f.Add(AppendMsg(nil, 1, 0, MoreToCome, document(5)))
	f.Fuzz(func(t *testing.T, data []byte) {
		header, _, err := Next(data, 1<<20)
		if err != nil || header.Size == 0 || header.OpCode != OpMsg {
			return
		}
		var sequences []Sequence
		flags, command, err := ParseMsg(data[:header.Size], func(name, content []byte) {
			if count := len(sequences); count == 0 || sequences[count-1].Name != string(name) {
				sequences = append(sequences, Sequence{Name: string(name)})
			}
			sequences[len(sequences)-1].Documents = append(sequences[len(sequences)-1].Documents, content)
		})
		if err != nil {
			return
		}
		encoded := AppendMsg(nil, header.RequestID, header.ResponseTo, flags, command, sequences...)
		if flagsAgain, commandAgain, err := ParseMsg(encoded, nil); err != nil || flagsAgain != flags || !bytes.Equal(commandAgain, command) {
			t.Errorf("flags %v, command %v, error %v", flagsAgain, commandAgain, err)
		}
	})
}
