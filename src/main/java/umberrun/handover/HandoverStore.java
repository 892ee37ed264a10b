package umberrun.handover;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.UnaryOperator;
import umberrun.core.Clock;

/**
 * The files shared by the processes of one front end. {@code state.json} holds the suspended
 * workers; it is replaced as a whole under a lock. Each process has a file with its progress and a
 * lock file that it keeps locked while it lives: unlike a process id, which may be reused, a lock
 * ends with its process. The methods block; use from one thread at a time.
 */
final class HandoverStore {
  /**
   * The workers that operators suspended or resumed.
   *
   * @param seq number of the last change
   * @param suspended start of each suspension by worker, in microseconds of this process's clock
   * @param resumed time at which each worker was resumed, in the same unit
   */
  record SuspensionState(long seq, Map<String, Long> suspended, Map<String, Long> resumed) {
    static final SuspensionState EMPTY = new SuspensionState(0, Map.of(), Map.of());
  }

  /**
   * Another live process of this front end.
   *
   * @param id its name in the folder
   * @param ready whether it accepts clients
   * @param applied number of the last suspension change that it applied
   */
  record OtherProcess(String id, boolean ready, long applied) {}

  /**
   * Facts about workers and functions written by another process.
   *
   * @param page the facts as a page of JSON
   * @param ageMicros time since they were written
   */
  record HandedOverFacts(String page, long ageMicros) {}

  /**
   * Worker leases written by another process.
   *
   * @param remaining remaining time of each worker's lease at {@code writtenAt}, in microseconds
   * @param writtenAt time of writing, in microseconds of the machine's monotonic clock
   */
  record HandedOverLeases(Map<String, Long> remaining, long writtenAt) {}

  private static final String FACTS = "facts.json";
  private static final String LEASES = "leases.json";
  private static final int FORMAT_VERSION = 1;
  private static final long MAX_FILE_BYTES = 1 << 20;
  private static final long LOCK_RETRY_MILLIS = 2;
  private static final long LOCK_TIMEOUT_MILLIS = 400;
  private static final String STATE = "state.json";

  /** The machine time at which the clock of the process that wrote a file shows 0. */
  private static final String CLOCK_ORIGIN = "clock";

  private static final String LOCK_SUFFIX = ".lock";
  private static final String STARTING_SUFFIX = ".begins";
  private static final String PROGRESS_SUFFIX = ".json";
  private static final String PROCESS_PREFIX = "process-";

  private final Path folder;

  /** Prefix of the names of this process's files. */
  private final String self;

  private final Clock clock;

  private final Consumer<String> log;

  /** The lock file of this process; kept open, as closing the channel releases the lock. */
  private final FileChannel ownLock;

  /** File attributes of the state as last read or written here; null before. */
  private Object lastSeen;

  /** Creates the folder if necessary and registers this process in it as not yet ready. */
  HandoverStore(Path folder, String id, Clock clock, Consumer<String> log) throws IOException {
    this.clock = clock;
    this.folder = Files.createDirectories(folder);
    this.self = PROCESS_PREFIX + id;
    this.log = log;
    // The file is locked before it gets its final name: a process that finds an unlocked lock file
    // considers its owner dead and removes it.
    Path starting = folder.resolve(self + STARTING_SUFFIX);
    this.ownLock = FileChannel.open(starting, StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    ownLock.lock();
    writeProgress(false, 0);
    Files.move(starting, folder.resolve(self + LOCK_SUFFIX), StandardCopyOption.ATOMIC_MOVE);
  }

  /** The name of this process in the folder. */
  String self() {
    return self;
  }

  /**
   * Whether the state may have changed since it was last read or written here. Each change creates
   * a new file, so inode and modification time identify it.
   */
  boolean isChanged() {
    return !fileStamp().equals(lastSeen == null ? "" : lastSeen);
  }

  private Object fileStamp() {
    try {
      return Files.readAttributes(folder.resolve(STATE), "unix:ino,lastModifiedTime").toString();
    } catch (IOException | UnsupportedOperationException e) {
      return "none";
    }
  }

  /**
   * Reads the state. A missing, oversized, partly written or otherwise unusable file counts as an
   * empty state, so that it cannot prevent the start.
   */
  SuspensionState read() {
    lastSeen = fileStamp();
    Path file = folder.resolve(STATE);
    if (!Files.exists(file)) {
      return SuspensionState.EMPTY;
    }
    try {
      if (Files.size(file) > MAX_FILE_BYTES) {
        throw new JsonParseException("too large");
      }
      JsonObject json = JsonParser.parseString(Files.readString(file)).getAsJsonObject();
      if (json.get("v").getAsInt() != FORMAT_VERSION) {
        throw new JsonParseException("unknown format version");
      }
      // Without the field, the file is of a version that relied on the system time.
      long difference =
          json.has(CLOCK_ORIGIN) ? clock.fromMachineTime(json.get(CLOCK_ORIGIN).getAsLong()) : 0;
      return new SuspensionState(
          json.get("seq").getAsLong(),
          shifted(readTimes(json, "suspended"), difference),
          shifted(readTimes(json, "resumed"), difference));
    } catch (IOException
        | JsonParseException
        | IllegalStateException
        | UnsupportedOperationException
        | NumberFormatException
        | NullPointerException e) {
      log.accept("handover: " + STATE + " can't be used and counts as empty: " + e.getMessage());
      return SuspensionState.EMPTY;
    }
  }

  /**
   * Times of another process's clock as times of this process's clock. None lies ahead: after a
   * restart of the machine its clock begins anew, and such a time counts as now.
   */
  private Map<String, Long> shifted(Map<String, Long> times, long difference) {
    long now = clock.now();
    times.replaceAll((worker, time) -> Math.min(now, time + difference));
    return times;
  }

  private static Map<String, Long> readTimes(JsonObject json, String key) {
    Map<String, Long> times = new TreeMap<>();
    for (Map.Entry<String, JsonElement> entry : json.getAsJsonObject(key).entrySet()) {
      times.put(entry.getKey(), entry.getValue().getAsLong());
    }
    return times;
  }

  /**
   * Changes the state under the lock.
   *
   * @return the new state
   * @throws IOException if another process holds the lock for too long
   */
  SuspensionState update(UnaryOperator<SuspensionState> change) throws IOException {
    try (FileChannel stateLock =
        FileChannel.open(
            folder.resolve("state" + LOCK_SUFFIX),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE)) {
      long deadline = System.nanoTime() + LOCK_TIMEOUT_MILLIS * 1_000_000;
      // Closing the channel releases the lock.
      while (!tryLock(stateLock)) {
        if (System.nanoTime() > deadline) {
          throw new IOException("another process holds the state");
        }
        sleepBeforeLockRetry();
      }
      SuspensionState before = read();
      SuspensionState after = change.apply(before);
      SuspensionState next = new SuspensionState(before.seq + 1, after.suspended, after.resumed);
      JsonObject json = new JsonObject();
      json.addProperty("v", FORMAT_VERSION);
      json.addProperty("seq", next.seq);
      json.addProperty(CLOCK_ORIGIN, clock.toMachineTime(0));
      json.add("suspended", toJson(next.suspended));
      json.add("resumed", toJson(next.resumed));
      replace(STATE, json);
      lastSeen = fileStamp();
      return next;
    }
  }

  private static boolean tryLock(FileChannel channel) throws IOException {
    try {
      FileLock lock = channel.tryLock();
      return lock != null;
    } catch (OverlappingFileLockException e) {
      // This process holds the lock through another channel.
      return false;
    }
  }

  private static void sleepBeforeLockRetry() throws IOException {
    try {
      Thread.sleep(LOCK_RETRY_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException(e);
    }
  }

  private static JsonObject toJson(Map<String, Long> times) {
    JsonObject json = new JsonObject();
    times.forEach(json::addProperty);
    return json;
  }

  private void replace(String name, JsonObject content) throws IOException {
    replace(name, content.toString());
  }

  /** Replaces a file atomically, so that no reader sees a partial one. */
  private void replace(String name, String content) throws IOException {
    Path part = folder.resolve(self + ".part");
    Files.writeString(part, content);
    Files.move(part, folder.resolve(name), StandardCopyOption.ATOMIC_MOVE);
  }

  /**
   * Publishes this process's progress to the others.
   *
   * @param ready whether it accepts clients
   * @param applied number of the last suspension change that it applied
   */
  void writeProgress(boolean ready, long applied) throws IOException {
    JsonObject json = new JsonObject();
    json.addProperty("ready", ready);
    json.addProperty("applied", applied);
    replace(self + PROGRESS_SUFFIX, json);
  }

  /** Writes this process's facts for a process that is starting. */
  void writeFacts(String page) throws IOException {
    replace(FACTS, clock.toMachineTime(clock.now()) + "\n" + page);
  }

  /** Reads the facts written by another process; null if there are none. */
  HandedOverFacts readFacts() {
    Path file = folder.resolve(FACTS);
    try {
      if (!Files.exists(file) || Files.size(file) > MAX_FILE_BYTES) {
        return null;
      }
      String[] timeAndPage = Files.readString(file).split("\n", 2);
      if (timeAndPage.length < 2) {
        // Written by a version that relied on the system time.
        long ageMillis = System.currentTimeMillis() - Files.getLastModifiedTime(file).toMillis();
        return new HandedOverFacts(timeAndPage[0], 1_000 * Math.max(0, ageMillis));
      }
      long writtenAt = clock.fromMachineTime(Long.parseLong(timeAndPage[0]));
      long age = clock.now() - writtenAt;
      // Written before the machine was restarted.
      return age < 0 ? null : new HandedOverFacts(timeAndPage[1], age);
    } catch (IOException | NumberFormatException e) {
      log.accept("handover: " + e);
      return null;
    }
  }

  /**
   * Writes the worker leases for a process that is starting.
   *
   * @param remaining remaining time of each worker's lease, in microseconds
   * @param now current time in microseconds of the machine's monotonic clock
   */
  void writeLeases(Map<String, Long> remaining, long now) throws IOException {
    JsonObject json = new JsonObject();
    json.addProperty("v", FORMAT_VERSION);
    json.addProperty("at", now);
    json.add("left", toJson(remaining));
    replace(LEASES, json);
  }

  /** Reads the worker leases written by another process; null if there are none usable. */
  HandedOverLeases readLeases() {
    Path file = folder.resolve(LEASES);
    try {
      if (!Files.exists(file) || Files.size(file) > MAX_FILE_BYTES) {
        return null;
      }
      JsonObject json = JsonParser.parseString(Files.readString(file)).getAsJsonObject();
      return json.get("v").getAsInt() == FORMAT_VERSION
          ? new HandedOverLeases(readTimes(json, "left"), json.get("at").getAsLong())
          : null;
    } catch (IOException
        | JsonParseException
        | IllegalStateException
        | UnsupportedOperationException
        | NumberFormatException
        | NullPointerException e) {
      log.accept("handover: " + LEASES + " can't be used: " + e.getMessage());
      return null;
    }
  }

  /**
   * The other live processes; the files of dead ones are removed.
   *
   * @throws IOException if they can't all be told: a process that is left out would count as dead
   */
  List<OtherProcess> otherProcesses() throws IOException {
    List<OtherProcess> others = new ArrayList<>();
    try (DirectoryStream<Path> files =
        Files.newDirectoryStream(folder, PROCESS_PREFIX + "*" + LOCK_SUFFIX)) {
      for (Path lock : files) {
        String name = lock.getFileName().toString().replace(LOCK_SUFFIX, "");
        if (!name.equals(self)) {
          readOther(name, lock, folder.resolve(name + PROGRESS_SUFFIX), others);
        }
      }
    } catch (DirectoryIteratorException e) {
      throw e.getCause();
    }
    return others;
  }

  /** Adds a process to {@code others}, or removes its files if nobody holds its lock. */
  private static void readOther(String id, Path lock, Path progress, List<OtherProcess> others)
      throws IOException {
    try (FileChannel channel = FileChannel.open(lock, StandardOpenOption.WRITE)) {
      if (tryLock(channel)) {
        Files.deleteIfExists(progress);
        Files.deleteIfExists(lock);
        return;
      }
    } catch (NoSuchFileException e) {
      // It has ended since the folder was listed.
      return;
    }
    try {
      JsonObject json = JsonParser.parseString(Files.readString(progress)).getAsJsonObject();
      others.add(
          new OtherProcess(id, json.get("ready").getAsBoolean(), json.get("applied").getAsLong()));
    } catch (IOException | JsonParseException | IllegalStateException | NullPointerException e) {
      // The process is only starting.
      others.add(new OtherProcess(id, false, 0));
    }
  }

  /** Removes this process's files and releases its lock. */
  void close() {
    try {
      Files.deleteIfExists(folder.resolve(self + PROGRESS_SUFFIX));
      Files.deleteIfExists(folder.resolve(self + LOCK_SUFFIX));
      ownLock.close();
    } catch (IOException e) {
      log.accept("handover: " + e);
    }
  }
}
