package umberrun.handover;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.zip.CRC32C;
import umberrun.core.InvocationEntry;
import umberrun.core.InvocationJournal;

/**
 * The invocation journal as a file in the folder that the processes of one front end share. Entries
 * are appended under a lock, each with its length and a checksum; a torn one at the end, of a
 * process that was killed, is cut off by the next writer. A file that has grown is replaced by a
 * shorter one. The file survives each process, not the machine, so it is never synced to a disk.
 *
 * <p>The methods block, for microseconds where the folder is in memory, as it is on the platform.
 */
final class InvocationFile implements InvocationJournal {
  private static final String FILE = "invocations-1.log";
  private static final String LOCK_FILE = "invocations.lock";
  private static final String PART_SUFFIX = ".part";

  /** Length and checksum before each entry. */
  private static final int HEADER_BYTES = 2 * Integer.BYTES;

  /** An entry holds at most a result of the longest kind that a worker may give. */
  private static final int MAX_ENTRY_BYTES = (1 << 20) + (16 << 10);

  private static final int READ_BYTES = 64 << 10;

  /** A file shorter than this is not replaced. */
  private static final long MIN_REPLACED_BYTES = 1 << 20;

  /** A writer holds the lock for microseconds, unless it is stopped. */
  private static final long LOCK_TIMEOUT_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private static final long LOCK_RETRY_NANOS = TimeUnit.MICROSECONDS.toNanos(100);

  private final Path folder;
  private final String process;
  private final Reader reader;
  private final Consumer<String> log;
  private final FileChannel lockFile;
  private FileLock lock;
  private RandomAccessFile file;

  /** Whether the last attempt to lock ended in vain. */
  private boolean heldElsewhere;

  /** Identifies the file that is open. */
  private Object inode;

  /** End of the last entry that was read or written. */
  private long position;

  /**
   * Opens the journal, and creates it if it does not exist. Its entries are delivered by the next
   * call.
   *
   * @param process name of this process
   */
  InvocationFile(Path folder, String process, Reader reader, Consumer<String> log)
      throws IOException {
    this.folder = folder;
    this.process = process;
    this.reader = reader;
    this.log = log;
    this.lockFile =
        FileChannel.open(
            folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    open();
  }

  private void open() throws IOException {
    RandomAccessFile opened = new RandomAccessFile(folder.resolve(FILE).toFile(), "rw");
    if (file != null) {
      file.close();
    }
    file = opened;
    inode = currentInode();
    position = 0;
  }

  private Object currentInode() throws IOException {
    return Files.getAttribute(folder.resolve(FILE), "unix:ino");
  }

  @Override
  public String process() {
    return process;
  }

  @Override
  public void poll() {
    try {
      readNew();
    } catch (IOException e) {
      log.accept("handover: the invocations of other processes can't be read: " + e);
    }
  }

  @Override
  public boolean lock() {
    // Once a wait was in vain the next ones are not, or they would stop the event loop.
    long deadline = System.nanoTime() + (heldElsewhere ? 0 : LOCK_TIMEOUT_NANOS);
    try {
      while (!tryLock()) {
        if (System.nanoTime() >= deadline) {
          setHeldElsewhere(true);
          return false;
        }
        LockSupport.parkNanos(LOCK_RETRY_NANOS);
      }
      setHeldElsewhere(false);
      readNew();
      // Nobody writes now, so what is left is an entry that was not written to its end.
      if (file.length() > position) {
        file.setLength(position);
      }
      return true;
    } catch (IOException e) {
      log.accept("handover: the invocations can't be read: " + e);
      unlock();
      return false;
    }
  }

  private void setHeldElsewhere(boolean value) {
    if (heldElsewhere != value) {
      heldElsewhere = value;
      log.accept(
          value
              ? "handover: another process holds the invocations and does not go on"
              : "handover: the invocations can be written again");
    }
  }

  private boolean tryLock() throws IOException {
    try {
      lock = lockFile.tryLock();
      return lock != null;
    } catch (OverlappingFileLockException e) {
      // Another journal of this virtual machine has the lock.
      return false;
    }
  }

  @Override
  public void unlock() {
    try {
      if (lock != null) {
        lock.release();
      }
    } catch (IOException e) {
      log.accept("handover: " + e);
    }
    lock = null;
  }

  @Override
  public boolean append(InvocationEntry entry) {
    try {
      if (position > MIN_REPLACED_BYTES + reader.snapshotBytes() * 3 / 2) {
        replaceFile();
      }
      position = write(file, position, entry);
      return true;
    } catch (IOException e) {
      log.accept("handover: an invocation can't be written: " + e);
      return false;
    }
  }

  /** Writes an entry at a position; returns the position behind it. */
  private static long write(RandomAccessFile file, long position, InvocationEntry entry)
      throws IOException {
    byte[] payload = InvocationEntryCodec.encode(entry);
    ByteBuffer framed = ByteBuffer.allocate(HEADER_BYTES + payload.length);
    framed.putInt(payload.length).putInt(checksum(payload)).put(payload);
    file.seek(position);
    file.write(framed.array());
    return position + framed.capacity();
  }

  private static int checksum(byte[] payload) {
    CRC32C crc = new CRC32C();
    crc.update(payload);
    return (int) crc.getValue();
  }

  /** Replaces the file by one that holds only what is still needed. */
  private void replaceFile() throws IOException {
    Path part = folder.resolve(FILE + PART_SUFFIX);
    Files.deleteIfExists(part);
    try (RandomAccessFile replacement = new RandomAccessFile(part.toFile(), "rw")) {
      long end = 0;
      for (InvocationEntry entry : reader.snapshot()) {
        end = write(replacement, end, entry);
      }
      Files.move(part, folder.resolve(FILE), StandardCopyOption.ATOMIC_MOVE);
      open();
      position = end;
    }
  }

  /** Delivers the whole entries that were not read yet. */
  private void readNew() throws IOException {
    if (!Files.exists(folder.resolve(FILE)) || !currentInode().equals(inode)) {
      open();
    }
    long length = file.length();
    while (length - position >= HEADER_BYTES) {
      byte[] chunk = new byte[(int) Math.min(READ_BYTES, length - position)];
      file.seek(position);
      file.readFully(chunk);
      int used = deliver(ByteBuffer.wrap(chunk), length - position);
      if (used == 0) {
        return;
      }
      position += used;
    }
  }

  /**
   * Delivers the entries at the start of a chunk, reading on in the file for one that is longer.
   *
   * @param available bytes in the file from the start of the chunk on
   * @return bytes of the entries delivered; 0 if there is no whole entry
   */
  private int deliver(ByteBuffer chunk, long available) throws IOException {
    int used = 0;
    while (chunk.remaining() >= HEADER_BYTES) {
      int bytes = chunk.getInt();
      int checksum = chunk.getInt();
      if (bytes < 0 || bytes > MAX_ENTRY_BYTES || used + HEADER_BYTES + bytes > available) {
        return used;
      }
      if (bytes > chunk.remaining() && used > 0) {
        return used;
      }
      byte[] payload = new byte[bytes];
      if (bytes > chunk.remaining()) {
        file.seek(position + HEADER_BYTES);
        file.readFully(payload);
        chunk.position(chunk.limit());
      } else {
        chunk.get(payload);
      }
      if (checksum(payload) != checksum) {
        return used;
      }
      reader.apply(InvocationEntryCodec.decode(payload));
      used += HEADER_BYTES + bytes;
    }
    return used;
  }
}
