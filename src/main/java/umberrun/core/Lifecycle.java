package umberrun.core;

/**
 * What this process owes its clients at a moment: it serves, is drained by hand, leaves, or hands
 * over to a successor at the same address. Free of I/O; times are in microseconds of one clock that
 * never goes back.
 */
public final class Lifecycle {
  /** The states. A process that leaves or hands over never comes back from it. */
  public enum State {
    STARTING,
    SERVING,
    DRAINED,
    LEAVING,
    HANDING_OVER
  }

  /**
   * The front in front of us asks ten times a second and sends no new connections 0.2 s after a no.
   */
  private static final long HEARD_NO = 400_000;

  /** After SIGTERM connections and calls keep coming for at most this long. */
  private static final long STILL_COMING = 700_000;

  /**
   * A connection with a call of the last 2 s is held against a drained front end 4 s after the
   * drain.
   */
  private static final long DRAINED_TAKES = 1_900_000;

  private static final long DRAINED_ENDS = 3_200_000;

  /**
   * A process that was told to end is killed after the longest deadline, counted as this at most,
   * and 0.7 s.
   */
  private static final long LONGEST_COUNTED = 3_000_000;

  /** Before that, what is still open gets an answer. */
  private static final long ENDS_EARLY = 250_000;

  private final long shutdownGrace;
  private State state = State.STARTING;
  private long since;

  /**
   * @param longestDeadline of all classes
   */
  public Lifecycle(long longestDeadline) {
    this.shutdownGrace = Math.min(longestDeadline, LONGEST_COUNTED) + STILL_COMING - ENDS_EARLY;
  }

  /** How long a process that was told to end still has. */
  public long shutdownGrace() {
    return shutdownGrace;
  }

  public State state() {
    return state;
  }

  /** Calls are welcome from now on, unless the process was told otherwise meanwhile. */
  public void serve(long now) {
    if (state == State.STARTING) {
      enter(State.SERVING, now);
    }
  }

  /** Told by hand to take no clients. Told again, the first time counts. */
  public boolean drain(long now) {
    if (state == State.SERVING) {
      enter(State.DRAINED, now);
    }
    return state == State.DRAINED;
  }

  /**
   * Told by hand to take clients again, also in the middle of a drain; a process that ends can't.
   */
  public boolean activate(long now) {
    if (state == State.DRAINED) {
      enter(State.SERVING, now);
    }
    return state == State.SERVING;
  }

  /** Told to end; {@code succeeded} where another process takes the clients at the same address. */
  public void shutDown(long now, boolean succeeded) {
    if (state != State.LEAVING && state != State.HANDING_OVER) {
      enter(succeeded ? State.HANDING_OVER : State.LEAVING, now);
    }
  }

  private void enter(State next, long now) {
    state = next;
    since = now;
  }

  /** Whether this process itself says that it is ready. */
  public boolean isReady() {
    return state == State.SERVING;
  }

  /**
   * Whether heartbeats say yes: while handing over they do, since the front end as a whole takes
   * clients.
   */
  public boolean isHealthy() {
    return state == State.SERVING || state == State.HANDING_OVER;
  }

  /** Whether connections are let go of as soon as nothing is open on them. */
  public boolean closesIdleConnections(long now) {
    return state == State.HANDING_OVER || state == State.DRAINED && now - since >= HEARD_NO;
  }

  /** Whether a call on a connection that is still open is taken; else it is refused. */
  public boolean acceptsCalls(long now) {
    return switch (state) {
      case DRAINED -> now - since < DRAINED_TAKES;
      case HANDING_OVER -> now - since < STILL_COMING;
      default -> true;
    };
  }

  /**
   * Whether a connection whose last call came at {@code lastCall} is ended with whatever is open on
   * it.
   */
  public boolean closesBusyConnection(long now, long lastCall) {
    return switch (state) {
      case DRAINED -> now - since >= DRAINED_ENDS && lastCall - since >= DRAINED_TAKES;
      case LEAVING, HANDING_OVER -> now - since >= shutdownGrace;
      default -> false;
    };
  }
}
