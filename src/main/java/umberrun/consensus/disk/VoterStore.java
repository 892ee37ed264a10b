package umberrun.consensus.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.zip.CRC32C;
import org.h2.mvstore.MVMap;
import org.h2.mvstore.MVStore;
import org.h2.mvstore.MVStoreException;
import umberrun.consensus.Ballot;
import umberrun.consensus.RegisterValue;
import umberrun.consensus.Voter.Slot;
import umberrun.consensus.Voter.VoteResult;

/**
 * A voter's slots on disk: an MVStore, which drops a torn tail by its checksums, and a seal file,
 * which holds the number of the last write that was synced before responses were sent. A store that
 * is behind its seal has lost promises, and its voter must not vote. All calls block and must not
 * run on the event loop.
 */
public final class VoterStore implements AutoCloseable {
  /** The store must not be used for voting; the message gives the reason in one line. */
  public static final class UnusableStore extends Exception {
    private static final long serialVersionUID = 1;

    UnusableStore(String message) {
      super(message.replaceAll("\\s+", " "));
    }
  }

  private static final String STORE_FILE = "registers.mv";
  private static final String SEAL_FILE = "seal";
  private static final String LOCK_FILE = "lock";
  private static final String COUNT_KEY = "count";
  private static final String OWNER_KEY = "owner";
  private static final int SEAL_BYTES = 2 * Long.BYTES;
  private static final int CACHE_MB = 1;

  private final MVStore store;
  private final MVMap<String, String> slots;
  private final MVMap<String, String> metadata;
  private final FileChannel seal;
  private final FileChannel lock;
  private long writeCount;
  private boolean failed;

  private VoterStore(FileChannel lock, MVStore store, FileChannel seal) {
    this.lock = lock;
    this.store = store;
    this.seal = seal;
    this.slots = store.openMap("slots");
    this.metadata = store.openMap("head");
  }

  /**
   * Creates the store of a voter that has never voted. An existing store is left as it is.
   *
   * @param owner {@code fleet/name#store id}
   * @throws UnusableStore if there is a store already, or it cannot be written
   */
  public static void create(Path folder, String owner) throws IOException, UnusableStore {
    Files.createDirectories(folder);
    if (exists(folder)) {
      throw new UnusableStore(folder + " has a voter's memory already");
    }
    try (VoterStore voterStore =
        new VoterStore(lockFolder(folder), openStore(folder), openSeal(folder, true))) {
      voterStore.metadata.put(OWNER_KEY, owner);
      voterStore.metadata.put(COUNT_KEY, "0");
      voterStore.sync();
    } catch (MVStoreException e) {
      throw new UnusableStore(folder + " can't be written: " + e.getMessage());
    }
  }

  /** Whether the folder contains any file of a store, usable or not. */
  public static boolean exists(Path folder) {
    return Files.exists(folder.resolve(STORE_FILE)) || Files.exists(folder.resolve(SEAL_FILE));
  }

  /**
   * Renames the files of an unusable store, so that a new one can be created. Nothing is deleted.
   */
  public static void setAside(Path folder) throws IOException {
    for (String name : List.of(STORE_FILE, SEAL_FILE)) {
      Path file = folder.resolve(name);
      for (int i = 1; Files.exists(file); i++) {
        Path aside = folder.resolve(name + ".unfit-" + i);
        if (!Files.exists(aside)) {
          Files.move(file, aside);
        }
      }
    }
  }

  /**
   * Opens an existing store.
   *
   * @param owner {@code fleet/name}; the stored owner may have {@code #store id} after it
   * @throws UnusableStore if the store is missing, damaged, in use or another owner's
   */
  public static VoterStore open(Path folder, String owner) throws UnusableStore {
    if (!Files.exists(folder.resolve(STORE_FILE)) || !Files.exists(folder.resolve(SEAL_FILE))) {
      throw new UnusableStore(folder + " has no voter's memory: it is lost, or was never made");
    }
    FileChannel lock = null;
    MVStore store = null;
    try {
      lock = lockFolder(folder);
      store = openStore(folder);
      VoterStore voterStore = new VoterStore(lock, store, openSeal(folder, false));
      voterStore.verify(folder, owner);
      return voterStore;
    } catch (IOException | MVStoreException | IllegalArgumentException e) {
      closeAfterFailure(store, lock);
      throw new UnusableStore(folder + " can't be read: " + e.getMessage());
    } catch (UnusableStore e) {
      closeAfterFailure(store, lock);
      throw e;
    }
  }

  private static void closeAfterFailure(MVStore store, FileChannel lock) {
    try (FileChannel ignored = lock) {
      if (store != null) {
        store.closeImmediately();
      }
    } catch (IOException e) {
      // the store is not used either way
    }
  }

  private static FileChannel lockFolder(Path folder) throws IOException, UnusableStore {
    FileChannel channel =
        FileChannel.open(
            folder.resolve(LOCK_FILE), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    try {
      FileLock held = channel.tryLock();
      if (held != null) {
        return channel;
      }
    } catch (OverlappingFileLockException e) {
      // another object of this process holds the lock
    }
    channel.close();
    throw new UnusableStore(folder + " is another process's");
  }

  private static MVStore openStore(Path folder) {
    // Only sync() commits, so that nothing is written in the background.
    MVStore store =
        new MVStore.Builder()
            .fileName(folder.resolve(STORE_FILE).toString())
            .autoCommitDisabled()
            .cacheSize(CACHE_MB)
            .open();
    // Each commit is synced before the next one is written, so the space of the previous commit can
    // be reused at once. With the default retention of 45 s the file grew by 5 KiB per vote during
    // that time and never shrank again.
    store.setRetentionTime(0);
    store.setVersionsToKeep(0);
    return store;
  }

  private static FileChannel openSeal(Path folder, boolean create) throws IOException {
    return create
        ? FileChannel.open(
            folder.resolve(SEAL_FILE),
            StandardOpenOption.CREATE_NEW,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE)
        : FileChannel.open(
            folder.resolve(SEAL_FILE), StandardOpenOption.READ, StandardOpenOption.WRITE);
  }

  private void verify(Path folder, String owner) throws IOException, UnusableStore {
    String storedOwner = metadata.get(OWNER_KEY);
    if (storedOwner == null || !storedOwner.equals(owner) && !storedOwner.startsWith(owner + "#")) {
      throw new UnusableStore(
          folder
              + " is the memory of "
              + (storedOwner == null ? "nobody" : storedOwner)
              + ", not of "
              + owner);
    }
    writeCount = Long.parseLong(metadata.get(COUNT_KEY));
    ByteBuffer contents = ByteBuffer.allocate(SEAL_BYTES);
    int bytesRead = seal.read(contents, 0);
    if (bytesRead < SEAL_BYTES || contents.getLong(Long.BYTES) != checksum(contents.getLong(0))) {
      throw new UnusableStore(folder + " has a seal that is torn");
    }
    if (writeCount < contents.getLong(0)) {
      throw new UnusableStore(
          folder
              + " has lost what was promised: it ends at "
              + writeCount
              + ", its seal says "
              + contents.getLong(0));
    }
    // Decodes all slots, so that an unreadable one is reported now and not when it is needed.
    slots();
  }

  private static long checksum(long number) {
    CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(Long.BYTES).putLong(number).flip());
    return crc.getValue();
  }

  /** The stored owner, {@code fleet/name#store id}. */
  public String owner() {
    return metadata.get(OWNER_KEY);
  }

  /** All slots on disk, by register name. */
  public Map<String, Slot> slots() {
    Map<String, Slot> all = new TreeMap<>();
    slots.forEach((register, text) -> all.put(register, decode(text)));
    return all;
  }

  /**
   * Writes the changes of several results with one sync; their responses may be sent once this
   * returns. After a failure all further writes fail.
   */
  public void write(List<VoteResult> results) throws IOException {
    if (failed) {
      throw new IOException("an earlier write has failed");
    }
    try {
      boolean hasChanges = false;
      for (VoteResult result : results) {
        if (result.slot() != null) {
          slots.put(result.register(), encode(result.slot()));
          hasChanges = true;
        }
      }
      if (hasChanges) {
        metadata.put(COUNT_KEY, Long.toString(++writeCount));
        sync();
      }
    } catch (IOException | MVStoreException e) {
      // The contents on disk are now unknown, so this process must not vote any more.
      failed = true;
      throw new IOException("the voter's memory can't be written: " + e.getMessage(), e);
    }
  }

  private void sync() throws IOException {
    store.commit();
    store.sync();
    seal.write(
        ByteBuffer.allocate(SEAL_BYTES).putLong(writeCount).putLong(checksum(writeCount)).flip(),
        0);
    seal.force(false);
  }

  private static String encode(Slot slot) {
    return slot.promised().round()
        + " "
        + slot.accepted().round()
        + " "
        + slot.value().version()
        + " "
        + slot.promised().proposer().length()
        + " "
        + slot.accepted().proposer().length()
        + " "
        + slot.promised().proposer()
        + slot.accepted().proposer()
        + slot.value().text();
  }

  private static Slot decode(String text) {
    String[] parts = text.split(" ", 6);
    int promisedEnd = Integer.parseInt(parts[3]);
    int acceptedEnd = promisedEnd + Integer.parseInt(parts[4]);
    return new Slot(
        new Ballot(Long.parseLong(parts[0]), parts[5].substring(0, promisedEnd)),
        new Ballot(Long.parseLong(parts[1]), parts[5].substring(promisedEnd, acceptedEnd)),
        new RegisterValue(Long.parseLong(parts[2]), parts[5].substring(acceptedEnd)));
  }

  /** Closes the files and releases the lock of the folder. All changes have been synced by then. */
  @Override
  public void close() throws IOException {
    store.closeImmediately();
    seal.close();
    lock.close();
  }
}
