package umberrun.core;

import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.zip.CRC32;
import saddlestall.Dispatcher.WorkerState;

/** The listed workers, each with the number by which the dispatcher knows it. */
final class WorkerTable {
  /**
   * A listed worker.
   *
   * @param drainReportedAt when it was first reported as draining or gone, in Unix microseconds; 0
   *     while ready
   */
  record Entry(int id, Endpoint endpoint, long drainReportedAt) {}

  /** How many names are remembered, so that operators can also name workers that are gone. */
  private static final int MAX_REMEMBERED_NAMES = 16_384;

  private final Map<String, Entry> byName = new HashMap<>();
  private final Map<Integer, String> namesById = new HashMap<>();

  /** The worker that is listed last at each address, by host and port. */
  private final Map<String, String> namesByAddress = new HashMap<>();

  private final Set<String> everListed =
      Collections.newSetFromMap(new BoundedMap<>(MAX_REMEMBERED_NAMES, false));

  /** Adds or updates a worker. */
  Entry put(Endpoint endpoint, long now) {
    Entry previous = byName.get(endpoint.name());
    long drainReportedAt =
        endpoint.state() == WorkerState.READY
            ? 0
            : previous == null || previous.drainReportedAt == 0 ? now : previous.drainReportedAt;
    Entry updated =
        new Entry(
            previous == null ? assignId(endpoint.name()) : previous.id, endpoint, drainReportedAt);
    byName.put(endpoint.name(), updated);
    if (previous != null) {
      namesByAddress.remove(address(previous.endpoint), endpoint.name());
    }
    if (endpoint.state() != WorkerState.GONE) {
      namesByAddress.put(address(endpoint), endpoint.name());
    }
    everListed.add(endpoint.name());
    return updated;
  }

  /**
   * The worker whose address another one has taken over: it is gone, whatever the list still says.
   * Null if the address of {@code endpoint} was free, or its own, or stays with the worker that has
   * it (see {@link #isOutdated}).
   */
  Entry replacedBy(Endpoint endpoint) {
    Entry occupant = occupant(endpoint);
    boolean replaces = endpoint.state() == WorkerState.READY && !isOutdated(endpoint);
    return replaces ? occupant : null;
  }

  /**
   * Whether an endpoint is listed at an address that a later worker has: it drains or has been
   * listed before, and did not start later than that one.
   */
  boolean isOutdated(Endpoint endpoint) {
    Entry occupant = occupant(endpoint);
    if (occupant == null || endpoint.state() == WorkerState.GONE) {
      return false;
    }
    boolean startedLater = endpoint.startedAt() > occupant.endpoint.startedAt();
    boolean isNew =
        !everListed.contains(endpoint.name())
            && endpoint.startedAt() == occupant.endpoint.startedAt();
    return endpoint.state() != WorkerState.READY || !startedLater && !isNew;
  }

  /** The other worker that is listed at the address of an endpoint, or null. */
  private Entry occupant(Endpoint endpoint) {
    String name = namesByAddress.get(address(endpoint));
    return name == null || name.equals(endpoint.name()) ? null : byName.get(name);
  }

  private static String address(Endpoint endpoint) {
    return endpoint.host() + ":" + endpoint.port();
  }

  /** All listed workers. */
  Iterable<Entry> all() {
    return byName.values();
  }

  /** The numbers of all listed workers. */
  Iterable<Integer> ids() {
    return Collections.unmodifiableSet(namesById.keySet());
  }

  /** The worker with this name, or null where it is not listed. */
  Entry find(String name) {
    return byName.get(name);
  }

  /** The worker with this number, or null where it is not listed. */
  Entry find(int id) {
    return byName.get(namesById.get(id));
  }

  /** Whether a worker of this name is listed or was so before. */
  boolean wasListed(String name) {
    return everListed.contains(name);
  }

  /**
   * Removes a worker that is gone. Nothing need be kept for its return, as its number follows from
   * its name.
   */
  void remove(Entry entry) {
    byName.remove(entry.endpoint.name());
    namesByAddress.remove(address(entry.endpoint), entry.endpoint.name());
    namesById.remove(entry.id);
  }

  /**
   * The CRC-32 of the name, or the next free number after it where two names share one. A hash,
   * since front ends that share no state must place functions alike.
   */
  private int assignId(String name) {
    CRC32 crc = new CRC32();
    crc.update(name.getBytes(StandardCharsets.UTF_8));
    int id = (int) crc.getValue();
    while (namesById.putIfAbsent(id, name) != null) {
      id++;
    }
    return id;
  }
}
