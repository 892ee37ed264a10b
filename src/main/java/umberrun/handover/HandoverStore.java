package umberrun.handover;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;

/**
 * The files that the processes of one front end share: {@code state.json}, written whole under a
 * lock and renamed into place, and for each process a file that says how far it is, beside one that
 * it keeps locked while it lives (a process number may be used again; a lock ends with its
 * process). Blocks; used by one thread at a time.
 */
final class HandoverStore {
  /**
   * What operators have said of workers: since when each is out, and when each came back, in Unix
   * microseconds.
   */
  record SuspensionState(long seq, Map<String, Long> out, Map<String, Long> back) {
    static final SuspensionState EMPTY = new SuspensionState(0, Map.of(), Map.of());
  }

  /** Another process that lives: whether it takes clients, and the last change that binds it. */
  record OtherProcess(boolean ready, long applied) {}

  /** What another process left, {@code age} microseconds ago. */
  record HandedOverFacts(String page, long age) {}

  /**
   * What was left of the leases of workers at {@code at}, in microseconds of the machine's steady
   * clock.
   */
  record HandedOverLeases(Map<String, Long> left, long at) {}

  private static final String FACTS = "facts.json";
  private static final String LEASES = "leases.json";
  private static final int FORM = 1;
  private static final long MOST_BYTES = 1 << 20;
  private static final long LOCK_MILLIS = 400;
  private static final String STATE = "state.json";
  private static final String LOCK = ".lock";
  private static final String BEGINS = ".begins";
  private static final String JSON = ".json";
  private static final String PROCESS = "process-";

  private final Path folder;
  private final String self;
  private final Consumer<String> log;

  /** Kept open: the lock on it ends with the channel. */
  private final FileChannel alive;

  private Object lastSeen;

  HandoverStore(Path folder, String id, Consumer<String> log) throws IOException {
    this.folder = Files.createDirectories(folder);
    this.self = PROCESS + id;
    this.log = log;
    // Locked before it has its name: a process that finds a lock file which nobody holds takes its
    // owner for dead and removes it.
    Path begins = folder.resolve(self + BEGINS);
    this.alive = FileChannel.open(begins, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    alive.lock();
    present(false, 0);
    Files.move(begins, folder.resolve(self + LOCK), StandardCopyOption.ATOMIC_MOVE);
  }

  /**
   * Whether the state may be another than when it was last read here: each change is a new file.
   */
  boolean isChanged() {
    return !stamp().equals(lastSeen == null ? "" : lastSeen);
  }

  private Object stamp() {
    try {
      Map<String, Object> a =
          Files.readAttributes(folder.resolve(STATE), "unix:ino,lastModifiedTime");
      return a.toString();
    } catch (IOException | UnsupportedOperationException e) {
      return "none";
    }
  }

  /** The state; an empty one where there is no file or one that can't be used. */
  SuspensionState read() {
    lastSeen = stamp();
    Path file = folder.resolve(STATE);
    if (!Files.exists(file)) {
      return SuspensionState.EMPTY;
    }
    try {
      if (Files.size(file) > MOST_BYTES) { // guards the memory against a foreign file
        throw new JsonParseException("too large");
      }
      JsonObject o = JsonParser.parseString(Files.readString(file)).getAsJsonObject();
      if (o.get("v").getAsInt() != FORM) {
        throw new JsonParseException("of another form");
      }
      return new SuspensionState(
          o.get("seq").getAsLong(), times(o, "suspended"), times(o, "resumed"));
    } catch (IOException
        | JsonParseException
        | IllegalStateException
        | UnsupportedOperationException
        | NumberFormatException
        | NullPointerException e) { // guards the start against a torn or foreign file
      log.accept("handover: " + STATE + " can't be used and counts as empty: " + e.getMessage());
      return SuspensionState.EMPTY;
    }
  }

  private static Map<String, Long> times(JsonObject o, String key) {
    Map<String, Long> times = new TreeMap<>();
    for (Map.Entry<String, JsonElement> e : o.getAsJsonObject(key).entrySet()) {
      times.put(e.getKey(), e.getValue().getAsLong());
    }
    return times;
  }

  /** Changes the state as no other process does meanwhile; the state as it is then. */
  SuspensionState update(UnaryOperator<SuspensionState> change) throws IOException {
    try (FileChannel c =
        FileChannel.open(
            folder.resolve("state" + LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
      long end = System.nanoTime() + LOCK_MILLIS * 1_000_000;
      while (!locked(c)) { // closing the channel lets go of it
        if (System.nanoTime() > end) {
          throw new IOException("another process holds the state");
        }
        pause();
      }
      SuspensionState before = read();
      SuspensionState after = change.apply(before);
      SuspensionState next = new SuspensionState(before.seq + 1, after.out, after.back);
      JsonObject o = new JsonObject();
      o.addProperty("v", FORM);
      o.addProperty("seq", next.seq);
      o.add("suspended", json(next.out));
      o.add("resumed", json(next.back));
      replace(STATE, o);
      lastSeen = stamp();
      return next;
    }
  }

  private static boolean locked(FileChannel c) throws IOException {
    try {
      FileLock lock = c.tryLock();
      return lock != null;
    } catch (OverlappingFileLockException e) { // held elsewhere in this process
      return false;
    }
  }

  private static void pause() throws IOException {
    try {
      Thread.sleep(2);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  private static JsonObject json(Map<String, Long> times) {
    JsonObject o = new JsonObject();
    times.forEach(o::addProperty);
    return o;
  }

  private void replace(String name, JsonObject content) throws IOException {
    replace(name, content.toString());
  }

  /** Guards readers against half a file. */
  private void replace(String name, String content) throws IOException {
    Path part = folder.resolve(self + ".part");
    Files.writeString(part, content);
    Files.move(part, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
  }

  /** Tells the others how far this process is. */
  void present(boolean ready, long applied) throws IOException {
    JsonObject o = new JsonObject();
    o.addProperty("ready", ready);
    o.addProperty("applied", applied);
    replace(self + JSON, o);
  }

  /** Leaves what this process knows to the one that begins beside it. */
  void leaveFacts(String page) throws IOException {
    replace(FACTS, page);
  }

  /** What another process left, and how long ago in microseconds; null where there is nothing. */
  HandedOverFacts factsLeft() {
    Path file = folder.resolve(FACTS);
    try {
      if (!Files.exists(file) || Files.size(file) > MOST_BYTES) {
        return null;
      }
      long age = System.currentTimeMillis() - Files.getLastModifiedTime(file).toMillis();
      return new HandedOverFacts(Files.readString(file), 1_000 * Math.max(0, age));
    } catch (IOException e) {
      log.accept("handover: " + e);
      return null;
    }
  }

  /**
   * Leaves what is left of the leases of workers, by name, in microseconds, as of {@code at} on the
   * machine's steady clock.
   */
  void leaveLeases(Map<String, Long> left, long at) throws IOException {
    JsonObject o = new JsonObject();
    o.addProperty("v", FORM);
    o.addProperty("at", at);
    o.add("left", json(left));
    replace(LEASES, o);
  }

  /** What another process left of its leases, or null where there is nothing that can be used. */
  HandedOverLeases leasesLeft() {
    Path file = folder.resolve(LEASES);
    try {
      if (!Files.exists(file) || Files.size(file) > MOST_BYTES) {
        return null;
      }
      JsonObject o = JsonParser.parseString(Files.readString(file)).getAsJsonObject();
      return o.get("v").getAsInt() == FORM
          ? new HandedOverLeases(times(o, "left"), o.get("at").getAsLong())
          : null;
    } catch (IOException
        | JsonParseException
        | IllegalStateException
        | UnsupportedOperationException
        | NumberFormatException
        | NullPointerException e) { // guards the start against a torn or foreign file
      log.accept("handover: " + LEASES + " can't be used: " + e.getMessage());
      return null;
    }
  }

  /** The other processes that live; what dead ones have left is removed. */
  List<OtherProcess> others() {
    List<OtherProcess> others = new ArrayList<>();
    try (DirectoryStream<Path> files = Files.newDirectoryStream(folder, PROCESS + "*" + LOCK)) {
      for (Path lock : files) {
        String name = lock.getFileName().toString().replace(LOCK, "");
        if (!name.equals(self)) {
          other(lock, folder.resolve(name + JSON), others);
        }
      }
    } catch (IOException e) {
      log.accept("handover: " + e);
    }
    return others;
  }

  private static void other(Path lock, Path said, List<OtherProcess> others) throws IOException {
    try (FileChannel c = FileChannel.open(lock, StandardOpenOption.WRITE)) {
      if (locked(c)) {
        Files.deleteIfExists(said);
        Files.deleteIfExists(lock);
        return;
      }
    }
    try {
      JsonObject o = JsonParser.parseString(Files.readString(said)).getAsJsonObject();
      others.add(new OtherProcess(o.get("ready").getAsBoolean(), o.get("applied").getAsLong()));
    } catch (IOException | JsonParseException | IllegalStateException | NullPointerException e) {
      others.add(new OtherProcess(false, 0)); // it has only begun
    }
  }

  /** This process no longer counts. */
  void close() {
    try {
      Files.deleteIfExists(folder.resolve(self + JSON));
      Files.deleteIfExists(folder.resolve(self + LOCK));
      alive.close();
    } catch (IOException e) {
      log.accept("handover: " + e);
    }
  }
}
