package replica

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"io"
	"os"
	"syscall"
)

// errCorrupted is returned for a file that was truncated or partly overwritten.
var errCorrupted = errors.New("damaged")

// The format of the database file (bbolt), as far as it is verified. Numbers are in the machine's byte order.
const (
	metaMagic      = 0xED0CDAED
	metaSize       = 64 // follows the page header
	metaChecksumAt = 56
	pageHeaderSize = 16
	elementSize    = 16
	bucketSize     = 16 // the header of a bucket's value: its root page and a sequence number
	minPageSize    = 512
	maxPageSize    = 64 << 10

	branchPage   = 0x01
	leafPage     = 0x02
	freelistPage = 0x10

	bucketElement  = 0x01
	noFreelist     = ^uint64(0)
	countInContent = 0xFFFF // count of a freelist whose first number is the actual count
)

// verifyLogFile verifies the structure of a database file before bbolt maps it into memory: reading beyond the end of a
// truncated file would crash the process. It waits for another process that has the file open. With rewrite the file is then
// rewritten and synced.
func verifyLogFile(path string, rewrite bool) error {
	flag := os.O_RDONLY
	if rewrite {
		flag = os.O_RDWR
	}
	f, err := os.OpenFile(path, flag, 0)
	if err != nil {
		return err
	}
	defer f.Close() // releases the lock
	for err = syscall.EINTR; errors.Is(err, syscall.EINTR); {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX)
	}
	if err != nil {
		return err
	}
	info, err := f.Stat()
	if err != nil {
		return err
	}
	if err := verifyPages(f, info.Size()); err != nil || !rewrite {
		return err
	}
	return rewriteAndSync(f)
}

// logMeta is the part of a meta page that locates the other pages.
type logMeta struct {
	pageSize             int
	root, freelist, used uint64 // page numbers; used: the number of pages
	transaction          uint64
}

// verifyPages verifies the pages of a file.
func verifyPages(file io.ReaderAt, size int64) error {
	meta, err := newestMeta(file, size)
	if err != nil {
		return err
	}
	if least := int64(meta.used) * int64(meta.pageSize); meta.used > 1<<40 || size < least {
		return fmt.Errorf("%w: %d bytes, of %d at least", errCorrupted, size, least)
	}
	v := &pageVerifier{file: file, pageSize: meta.pageSize, used: meta.used, reached: map[uint64]struct{}{}}
	if err := v.verifyTree(meta.root); err != nil {
		return err
	}
	return v.verifyFreelist(meta.freelist)
}

// newestMeta reads the two meta pages, and returns the newer one that is intact. The other may belong to a write that was
// not acknowledged. The page size is found by trying every size that bbolt uses.
func newestMeta(file io.ReaderAt, size int64) (newest logMeta, err error) {
	found := false
	for pageSize := int64(minPageSize); pageSize <= maxPageSize && 2*pageSize <= size; pageSize *= 2 {
		for at := int64(0); at <= pageSize; at += pageSize {
			meta, intact, err := readMeta(file, at)
			if err != nil {
				return newest, err
			}
			if intact && int64(meta.pageSize) == pageSize && (!found || meta.transaction > newest.transaction) {
				newest, found = meta, true
			}
		}
	}
	if !found {
		return newest, fmt.Errorf("%w: it has no beginning", errCorrupted)
	}
	return newest, nil
}

// readMeta reads a meta page, and reports whether its checksum is right.
func readMeta(file io.ReaderAt, at int64) (meta logMeta, intact bool, err error) {
	var b [metaSize]byte
	if _, err := file.ReadAt(b[:], at+pageHeaderSize); err != nil {
		return meta, false, err
	}
	order := binary.NativeEndian
	sum := fnv.New64a()
	sum.Write(b[:metaChecksumAt])
	if order.Uint32(b[0:]) != metaMagic || order.Uint64(b[metaChecksumAt:]) != sum.Sum64() {
		return meta, false, nil
	}
	return logMeta{
		pageSize: int(order.Uint32(b[8:])), root: order.Uint64(b[16:]), freelist: order.Uint64(b[32:]),
		used: order.Uint64(b[40:]), transaction: order.Uint64(b[48:]),
	}, true, nil
}

// pageVerifier verifies the pages of a file, each of which may be referenced only once.
type pageVerifier struct {
	file     io.ReaderAt
	pageSize int
	used     uint64
	reached  map[uint64]struct{}
}

// page is a page with its overflow pages.
type page struct {
	id      uint64
	flags   uint16
	count   int
	content []byte // including the header
}

// readPage reads a page, and marks it as reached. A page that was reached before is an error.
func (v *pageVerifier) readPage(id uint64) (p page, err error) {
	var head [pageHeaderSize]byte
	if id < 2 || id >= v.used {
		return p, fmt.Errorf("%w: page %d of %d", errCorrupted, id, v.used)
	}
	if _, err := v.file.ReadAt(head[:], int64(id)*int64(v.pageSize)); err != nil {
		return p, err
	}
	order := binary.NativeEndian
	overflow := uint64(order.Uint32(head[12:]))
	if order.Uint64(head[0:]) != id || id+overflow >= v.used {
		return p, fmt.Errorf("%w: page %d", errCorrupted, id)
	}
	for part := id; part <= id+overflow; part++ {
		if _, twice := v.reached[part]; twice {
			return p, fmt.Errorf("%w: page %d is used twice", errCorrupted, part)
		}
		v.reached[part] = struct{}{}
	}
	p = page{id: id, flags: order.Uint16(head[8:]), count: int(order.Uint16(head[10:]))}
	p.content = make([]byte, (1+overflow)*uint64(v.pageSize))
	_, err = v.file.ReadAt(p.content, int64(id)*int64(v.pageSize))
	return p, err
}

// verifyTree verifies a page and its descendants.
func (v *pageVerifier) verifyTree(id uint64) error {
	p, err := v.readPage(id)
	if err != nil {
		return err
	}
	switch p.flags {
	case branchPage:
		return v.verifyBranch(p)
	case leafPage:
		return v.verifyLeaf(p)
	}
	return fmt.Errorf("%w: page %d is of no known kind", errCorrupted, id)
}

// verifyBranch verifies a branch page, whose keys ascend, and its descendants.
func (v *pageVerifier) verifyBranch(p page) error {
	var previousKey []byte
	for i := range p.count {
		element, ok := p.slice(pageHeaderSize+i*elementSize, elementSize)
		if !ok {
			return p.corrupted()
		}
		order := binary.NativeEndian
		key, ok := p.slice(pageHeaderSize+i*elementSize+int(order.Uint32(element[0:])), int(order.Uint32(element[4:])))
		if !ok || i > 0 && bytes.Compare(previousKey, key) >= 0 {
			return p.corrupted()
		}
		previousKey = key
		if err := v.verifyTree(order.Uint64(element[8:])); err != nil {
			return err
		}
	}
	return nil
}

// verifyLeaf verifies a leaf page, whose keys ascend, and the buckets in it.
func (v *pageVerifier) verifyLeaf(p page) error {
	var previousKey []byte
	for i := range p.count {
		at := pageHeaderSize + i*elementSize
		element, ok := p.slice(at, elementSize)
		if !ok {
			return p.corrupted()
		}
		order := binary.NativeEndian
		keyAt := at + int(order.Uint32(element[4:]))
		keySize, valueSize := int(order.Uint32(element[8:])), int(order.Uint32(element[12:]))
		key, keyOK := p.slice(keyAt, keySize)
		value, valueOK := p.slice(keyAt+keySize, valueSize)
		if !keyOK || !valueOK || i > 0 && bytes.Compare(previousKey, key) >= 0 {
			return p.corrupted()
		}
		previousKey = key
		if order.Uint32(element[0:])&bucketElement == 0 {
			continue
		}
		if err := v.verifyBucket(p, value); err != nil {
			return err
		}
	}
	return nil
}

// verifyBucket verifies a bucket, which either has its own pages or is stored inline in its value.
func (v *pageVerifier) verifyBucket(within page, value []byte) error {
	if len(value) < bucketSize {
		return within.corrupted()
	}
	order := binary.NativeEndian
	if root := order.Uint64(value); root != 0 {
		return v.verifyTree(root)
	}
	content := value[bucketSize:]
	if len(content) < pageHeaderSize || order.Uint16(content[8:]) != leafPage {
		return within.corrupted()
	}
	return v.verifyLeaf(page{id: within.id, flags: leafPage, count: int(order.Uint16(content[10:])), content: content})
}

// verifyFreelist verifies the list of free pages, none of which may belong to the tree.
func (v *pageVerifier) verifyFreelist(id uint64) error {
	if id == noFreelist {
		return nil
	}
	p, err := v.readPage(id)
	if err != nil {
		return err
	}
	if p.flags != freelistPage {
		return p.corrupted()
	}
	order := binary.NativeEndian
	numbers := p.content[pageHeaderSize:]
	count := uint64(p.count)
	if p.count == countInContent {
		count = order.Uint64(numbers)
		numbers = numbers[8:]
	}
	if count > uint64(len(numbers)/8) {
		return p.corrupted()
	}
	for i := range int(count) {
		free := order.Uint64(numbers[8*i:])
		if _, twice := v.reached[free]; twice || free < 2 || free >= v.used {
			return p.corrupted()
		}
		v.reached[free] = struct{}{}
	}
	return nil
}

func (p page) corrupted() error { return fmt.Errorf("%w: page %d", errCorrupted, p.id) }

// slice returns a part of a page. It reports false if the part exceeds the page.
func (p page) slice(at, size int) ([]byte, bool) {
	if at < 0 || size < 0 || at+size > len(p.content) {
		return nil, false
	}
	return p.content[at : at+size], true
}
