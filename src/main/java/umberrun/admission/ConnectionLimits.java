package umberrun.admission;

import java.util.EnumMap;
import java.util.Map;

/**
 * Counts this process's open connections by purpose and limits each purpose to a share of the file
 * descriptors that the process may use. Does no I/O.
 */
public final class ConnectionLimits {
  /** The purpose of a connection. */
  public enum Purpose {
    /** Clients of the RPC server. */
    CLIENTS,
    /** Clients of the HTTP invoke API. */
    INVOKE,
    /** Connections to workers. */
    WORKERS,
    /** Callers of the operators' HTTP interface. */
    OPERATORS,
    /** Connections from and to other front ends. */
    PEERS
  }

  /** Thrown when there are too few descriptors for the enabled features. */
  public static final class TooFewDescriptors extends Exception {
    private static final long serialVersionUID = 1;

    TooFewDescriptors(String message) {
      super(message);
    }
  }

  /**
   * Descriptors reserved for files, the change log connection, the event loop itself, and
   * connections that are closed but not yet released by the system.
   */
  private static final int RESERVED_DESCRIPTORS = 40;

  /** The invoke API may use one descriptor out of this many. */
  private static final int INVOKE_DIVISOR = 8;

  /**
   * Worker connections may use one out of this many of the descriptors that remain after the
   * reserve. The platform's clients hold at most a third of all descriptors.
   */
  private static final int WORKER_DIVISOR = 3;

  /**
   * Connections kept for operators regardless of client load, as a caller may hold a connection for
   * seconds without a complete request.
   */
  private static final int OPERATOR_CONNECTIONS = 16;

  /** Connections from and to other front ends, for each component that communicates with them. */
  private static final int PEER_CONNECTIONS_PER_COMPONENT = 12;

  private static final int MIN_CLIENT_CONNECTIONS = 8;

  private final Map<Purpose, Integer> shares = new EnumMap<>(Purpose.class);
  private final Map<Purpose, Integer> inUse = new EnumMap<>(Purpose.class);
  private int processes = 1;

  /**
   * Divides the descriptors: each enabled feature gets its share, RPC clients get the rest.
   *
   * @param descriptors file descriptors that this process may use in all
   * @param invoke whether the invoke API is enabled
   * @param operators whether the operators' HTTP interface is enabled
   * @param peerComponents number of components that communicate with other front ends
   * @throws TooFewDescriptors if fewer than the minimum would be left for RPC clients
   */
  public ConnectionLimits(int descriptors, boolean invoke, boolean operators, int peerComponents)
      throws TooFewDescriptors {
    shares.put(Purpose.WORKERS, Math.max(0, descriptors - RESERVED_DESCRIPTORS) / WORKER_DIVISOR);
    shares.put(Purpose.INVOKE, invoke ? descriptors / INVOKE_DIVISOR : 0);
    shares.put(Purpose.OPERATORS, operators ? OPERATOR_CONNECTIONS : 0);
    shares.put(Purpose.PEERS, peerComponents * PEER_CONNECTIONS_PER_COMPONENT);
    int others = shares.values().stream().mapToInt(share -> share).sum();
    int clients = descriptors - RESERVED_DESCRIPTORS - others;
    if (clients < MIN_CLIENT_CONNECTIONS) {
      throw new TooFewDescriptors(
          "limits.sockets of "
              + descriptors
              + " is too few: "
              + others
              + " are kept for workers and what is "
              + "switched on, "
              + RESERVED_DESCRIPTORS
              + " as headroom, and clients need "
              + MIN_CLIENT_CONNECTIONS);
    }
    shares.put(Purpose.CLIENTS, clients);
    for (Purpose purpose : Purpose.values()) {
      inUse.put(purpose, 0);
    }
  }

  /**
   * How many connections may currently be open for a purpose. The limits are divided among the
   * processes of this front end, except the operators' limit: each process has an operator address
   * of its own, and both must be reachable.
   */
  public int limit(Purpose purpose) {
    return shares.get(purpose) / (purpose == Purpose.OPERATORS ? 1 : processes);
  }

  /** How many connections are open for a purpose. */
  public int inUse(Purpose purpose) {
    return inUse.get(purpose);
  }

  /** Counts one more connection; false, and no change, if the limit is reached. */
  public boolean tryAcquire(Purpose purpose) {
    if (inUse.get(purpose) >= limit(purpose)) {
      return false;
    }
    inUse.merge(purpose, 1, Integer::sum);
    return true;
  }

  /**
   * Counts one connection less.
   *
   * @throws IllegalStateException if none is counted; a connection released twice would otherwise
   *     raise the limit
   */
  public void release(Purpose purpose) {
    if (inUse.merge(purpose, -1, Integer::sum) < 0) {
      inUse.put(purpose, 0);
      throw new IllegalStateException("released a connection that was not acquired: " + purpose);
    }
  }

  /** The number of live processes of this front end, which share the limits. */
  public int processes() {
    return processes;
  }

  /**
   * Divides the limits among so many processes of this front end. Connections beyond a reduced
   * limit stay open until they close.
   */
  public void shareAmong(int processes) {
    this.processes = processes;
  }
}
