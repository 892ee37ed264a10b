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
 * A voter's memory on disk: a store that cuts off a torn tail by its checksums, and beside it a
 * seal, which says up to where the store was synced when answers left. A store that is behind its
 * seal has lost what was promised, and its voter never votes on it. All calls block, and belong
 * beside the event loop.
 */
public final class VoterStore implements AutoCloseable {
  /** A folder that can't be voted on; the message says why in one plain line. */
  public static final class UnusableStore extends Exception {
    private static final long serialVersionUID = 1;

    UnusableStore(String message) {
      super(message.replaceAll("\\s+", " "));
    }
  }

  private static final String STORE = "registers.mv";
  private static final String SEAL = "seal";
  private static final String LOCK = "lock";
  private static final String COUNT = "count";
  private static final String OWNER = "owner";
  private static final int SEAL_BYTES = 2 * Long.BYTES;
  private static final int CACHE_MB = 1;

  private final MVStore store;
  private final MVMap<String, String> slots;
  private final MVMap<String, String> head;
  private final FileChannel seal;
  private final FileChannel lock;
  private long count;
  private boolean failed;

  private VoterStore(FileChannel lock, MVStore store, FileChannel seal) {
    this.lock = lock;
    this.store = store;
    this.seal = seal;
    this.slots = store.openMap("slots");
    this.head = store.openMap("head");
  }

  /** Makes the folder of a voter that never voted; one that is there already is left as it is. */
  public static void create(Path folder, String owner) throws IOException, UnusableStore {
    Files.createDirectories(folder);
    if (exists(folder)) {
      throw new UnusableStore(folder + " has a voter's memory already");
    }
    try (VoterStore f = new VoterStore(locked(folder), open(folder), sealOf(folder, true))) {
      f.head.put(OWNER, owner);
      f.head.put(COUNT, "0");
      f.sync();
    } catch (MVStoreException e) {
      throw new UnusableStore(folder + " can't be written: " + e.getMessage());
    }
  }

  /** Whether anything of a memory is there, fit or not. */
  public static boolean exists(Path folder) {
    return Files.exists(folder.resolve(STORE)) || Files.exists(folder.resolve(SEAL));
  }

  /**
   * Puts a memory that can't be voted on out of the way, for one that is made anew; nothing is
   * deleted.
   */
  public static void setAside(Path folder) throws IOException {
    for (String name : List.of(STORE, SEAL)) {
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
   * Opens what a voter has promised; {@code owner} is its fleet's and its name, behind which its
   * folder's id may stand.
   */
  public static VoterStore open(Path folder, String owner) throws UnusableStore {
    if (!Files.exists(folder.resolve(STORE)) || !Files.exists(folder.resolve(SEAL))) {
      throw new UnusableStore(folder + " has no voter's memory: it is lost, or was never made");
    }
    FileChannel lock = null;
    MVStore store = null;
    try {
      lock = locked(folder);
      store = open(folder);
      VoterStore f = new VoterStore(lock, store, sealOf(folder, false));
      f.check(folder, owner);
      return f;
    } catch (IOException | MVStoreException | IllegalArgumentException e) {
      let(store, lock);
      throw new UnusableStore(folder + " can't be read: " + e.getMessage());
    } catch (UnusableStore e) {
      let(store, lock);
      throw e;
    }
  }

  private static void let(MVStore store, FileChannel lock) {
    try (FileChannel l = lock) {
      if (store != null) {
        store.closeImmediately();
      }
    } catch (IOException e) {
      // it is given up either way
    }
  }

  private static FileChannel locked(Path folder) throws IOException, UnusableStore {
    FileChannel c =
        FileChannel.open(folder.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    try {
      FileLock held = c.tryLock();
      if (held != null) {
        return c;
      }
    } catch (OverlappingFileLockException e) {
      // held elsewhere in this process
    }
    c.close();
    throw new UnusableStore(folder + " is another process's");
  }

  private static MVStore open(Path folder) {
    // Nothing is written behind our back: a commit is ours to make and to sync.
    MVStore store =
        new MVStore.Builder()
            .fileName(folder.resolve(STORE).toString())
            .autoCommitDisabled()
            .cacheSize(CACHE_MB)
            .open();
    // Each commit is synced before the next is written, so that the space of the one before can be
    // used again at once:
    // else the file grew by 5 KiB a vote for 45 s, and by that much for ever.
    store.setRetentionTime(0);
    store.setVersionsToKeep(0);
    return store;
  }

  private static FileChannel sealOf(Path folder, boolean create) throws IOException {
    return create
        ? FileChannel.open(
            folder.resolve(SEAL),
            StandardOpenOption.CREATE_NEW,
            StandardOpenOption.READ,
            StandardOpenOption.WRITE)
        : FileChannel.open(folder.resolve(SEAL), StandardOpenOption.READ, StandardOpenOption.WRITE);
  }

  private void check(Path folder, String owner) throws IOException, UnusableStore {
    String of = head.get(OWNER);
    if (of == null || !of.equals(owner) && !of.startsWith(owner + "#")) {
      throw new UnusableStore(
          folder + " is the memory of " + (of == null ? "nobody" : of) + ", not of " + owner);
    }
    count = Long.parseLong(head.get(COUNT));
    ByteBuffer b = ByteBuffer.allocate(SEAL_BYTES);
    int read = seal.read(b, 0);
    if (read < SEAL_BYTES || b.getLong(Long.BYTES) != sum(b.getLong(0))) {
      throw new UnusableStore(folder + " has a seal that is torn");
    }
    if (count < b.getLong(0)) {
      throw new UnusableStore(
          folder
              + " has lost what was promised: it ends at "
              + count
              + ", its seal says "
              + b.getLong(0));
    }
    slots(); // what can't be read is found now, not when it is asked for
  }

  private static long sum(long of) {
    CRC32C crc = new CRC32C();
    crc.update(ByteBuffer.allocate(Long.BYTES).putLong(of).flip());
    return crc.getValue();
  }

  /** Whose memory it is, with the folder's id. */
  public String owner() {
    return head.get(OWNER);
  }

  /** What was synced. */
  public Map<String, Slot> slots() {
    Map<String, Slot> all = new TreeMap<>();
    slots.forEach((register, text) -> all.put(register, read(text)));
    return all;
  }

  /**
   * Writes what some steps have changed, in one sync; their answers may leave once this returns.
   * Fails for good.
   */
  public void write(List<VoteResult> steps) throws IOException {
    if (failed) {
      throw new IOException("an earlier write has failed");
    }
    try {
      boolean changed = false;
      for (VoteResult s : steps) {
        if (s.slot() != null) {
          slots.put(s.register(), text(s.slot()));
          changed = true;
        }
      }
      if (changed) {
        head.put(COUNT, Long.toString(++count));
        sync();
      }
    } catch (IOException | MVStoreException e) {
      failed = true; // what is on disk now is not known: this process votes no more
      throw new IOException("the voter's memory can't be written: " + e.getMessage(), e);
    }
  }

  private void sync() throws IOException {
    store.commit();
    store.sync();
    seal.write(ByteBuffer.allocate(SEAL_BYTES).putLong(count).putLong(sum(count)).flip(), 0);
    seal.force(false);
  }

  private static String text(Slot s) {
    return s.promised().round()
        + " "
        + s.accepted().round()
        + " "
        + s.value().version()
        + " "
        + s.promised().proposer().length()
        + " "
        + s.accepted().proposer().length()
        + " "
        + s.promised().proposer()
        + s.accepted().proposer()
        + s.value().text();
  }

  private static Slot read(String text) {
    String[] parts = text.split(" ", 6);
    int first = Integer.parseInt(parts[3]);
    int second = first + Integer.parseInt(parts[4]);
    return new Slot(
        new Ballot(Long.parseLong(parts[0]), parts[5].substring(0, first)),
        new Ballot(Long.parseLong(parts[1]), parts[5].substring(first, second)),
        new RegisterValue(Long.parseLong(parts[2]), parts[5].substring(second)));
  }

  /** Lets go of the folder; all that was promised is there already. */
  @Override
  public void close() throws IOException {
    store.closeImmediately();
    seal.close();
    lock.close();
  }
}
