package umberrun.admission;

import java.util.EnumMap;
import java.util.Map;

/**
 * Every connection that this process holds, by what it is for, within the descriptors that it may
 * use. Free of I/O.
 */
public final class ConnectionLimits {
  /** What connections are for. */
  public enum Purpose {
    CLIENTS,
    INVOKE,
    LINKS,
    DOOR,
    PEERS
  }

  /** Too few descriptors for what is switched on; the message is one plain line. */
  public static final class TooFewDescriptors extends Exception {
    private static final long serialVersionUID = 1;

    TooFewDescriptors(String message) {
      super(message);
    }
  }

  /**
   * Files, the change log, the loop's own, and connections that are closed but not yet let go of.
   */
  private static final int HEADROOM = 40;

  /** Of the descriptors, what the invoke API may use. */
  private static final int INVOKE_PART = 8;

  /**
   * Of the descriptors less the headroom, what worker links may use: clients hold a third of all at
   * the most.
   */
  private static final int LINKS_PART = 3;

  /**
   * Kept for operators, whatever the clients do: callers may hold a connection for seconds without
   * a whole call.
   */
  private static final int DOOR = 16;

  /**
   * Other front ends that ask this one, and those that it asks, for each part that speaks with
   * them.
   */
  private static final int PEERS = 12;

  private static final int LEAST_CLIENTS = 8;

  private final Map<Purpose, Integer> shares = new EnumMap<>(Purpose.class);
  private final Map<Purpose, Integer> inUse = new EnumMap<>(Purpose.class);
  private int processes = 1;

  /**
   * An account of so many descriptors, of which each thing that is switched on has its share and
   * clients all else.
   *
   * @param peers parts by which this one speaks with other front ends
   */
  public ConnectionLimits(int descriptors, boolean invoke, boolean door, int peers)
      throws TooFewDescriptors {
    shares.put(Purpose.LINKS, Math.max(0, descriptors - HEADROOM) / LINKS_PART);
    shares.put(Purpose.INVOKE, invoke ? descriptors / INVOKE_PART : 0);
    shares.put(Purpose.DOOR, door ? DOOR : 0);
    shares.put(Purpose.PEERS, peers * PEERS);
    int others = shares.values().stream().mapToInt(i -> i).sum();
    int clients = descriptors - HEADROOM - others;
    if (clients < LEAST_CLIENTS) {
      throw new TooFewDescriptors(
          "limits.sockets of "
              + descriptors
              + " is too few: "
              + others
              + " are kept for workers and what is "
              + "switched on, "
              + HEADROOM
              + " as headroom, and clients need "
              + LEAST_CLIENTS);
    }
    shares.put(Purpose.CLIENTS, clients);
    for (Purpose use : Purpose.values()) {
      inUse.put(use, 0);
    }
  }

  /** How many connections may be held for something by now. */
  public int limit(Purpose use) {
    return shares.get(use)
        / (use == Purpose.DOOR
            ? 1
            : processes); // each process has a door of its own, and both are needed
  }

  public int inUse(Purpose use) {
    return inUse.get(use);
  }

  /** Takes a place; false where none is left. */
  public boolean tryAcquire(Purpose use) {
    if (inUse.get(use) >= limit(use)) {
      return false;
    }
    inUse.merge(use, 1, Integer::sum);
    return true;
  }

  /** Returns a place. */
  public void release(Purpose use) {
    if (inUse.merge(use, -1, Integer::sum) < 0) { // guards the limit against a place returned twice
      inUse.put(use, 0);
      throw new IllegalStateException("no connection for " + use + " was held");
    }
  }

  /** Among how many processes of this front end its limits are shared. */
  public int processes() {
    return processes;
  }

  /**
   * So many processes of this front end live, and share its limits. What is held beyond a share
   * stays until it closes.
   */
  public void shareAmong(int processes) {
    this.processes = processes;
  }
}
