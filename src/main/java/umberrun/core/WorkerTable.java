package umberrun.core;

import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.zip.CRC32;
import saddlestall.Dispatcher.WorkerState;

/** The table of workers: the number that the module knows each by, and what was last told of it. */
final class WorkerTable {
  /**
   * A worker as last told; {@code toldAt} is when it was first told to drain or be gone, 0 while
   * ready.
   */
  record Entry(int id, Endpoint endpoint, long toldAt) {}

  /** Names kept of workers that are gone, so that operators can speak of them. */
  private static final int MOST_NAMES = 16_384;

  private final Map<String, Entry> byName = new HashMap<>();
  private final Map<Integer, String> names = new HashMap<>();
  private final Set<String> everListed =
      Collections.newSetFromMap(new BoundedMap<>(MOST_NAMES, false));

  /** Takes in one line of the list. */
  Entry tell(Endpoint e, long now) {
    Entry before = byName.get(e.name());
    long toldAt =
        e.state() == WorkerState.READY
            ? 0
            : before == null || before.toldAt == 0 ? now : before.toldAt;
    Entry after = new Entry(before == null ? number(e.name()) : before.id, e, toldAt);
    byName.put(e.name(), after);
    everListed.add(e.name());
    return after;
  }

  Iterable<Entry> all() {
    return byName.values();
  }

  /** The numbers of all that are on the list. */
  Iterable<Integer> ids() {
    return Collections.unmodifiableSet(names.keySet());
  }

  /** A worker by its name, or null where it is not on the list now. */
  Entry find(String name) {
    return byName.get(name);
  }

  /** A worker by its number, or null where it is not on the list now. */
  Entry find(int id) {
    return byName.get(names.get(id));
  }

  boolean wasListed(String name) {
    return everListed.contains(name);
  }

  /** Lets go of one that is gone, as names never come back with the same number by chance alone. */
  void forget(Entry gone) {
    byName.remove(gone.endpoint.name());
    names.remove(gone.id);
  }

  /** A hash of the name, since front ends that share nothing must place functions alike. */
  private int number(String name) {
    CRC32 crc = new CRC32();
    crc.update(name.getBytes(StandardCharsets.UTF_8));
    int id = (int) crc.getValue();
    while (names.putIfAbsent(id, name) != null) { // guards against two names with one hash
      id++;
    }
    return id;
  }
}
