package umberrun.core;

/**
 * The lifecycle of this process as its clients see it: it serves, is drained by an operator, shuts
 * down, or hands over to a successor at the same address. Free of I/O; times are microseconds of
 * one monotonic clock.
 */
public final class Lifecycle {
  /**
   * The states. {@code LEAVING} is a shutdown without a successor, {@code HANDING_OVER} one with a
   * successor at the same address; both are final.
   */
  public enum State {
    STARTING,
    SERVING,
    DRAINED,
    LEAVING,
    HANDING_OVER
  }

  /**
   * How long new connections may still come after a drain. The balancer in front of this process
   * polls health ten times a second and sends no new connections 0.2 s after a negative answer.
   */
  private static final long DRAIN_NOTICE_MICROS = 400_000;

  /** After SIGTERM, connections and calls keep arriving for at most this long. */
  private static final long ARRIVAL_GRACE_MICROS = 700_000;

  /**
   * How long after a drain calls are accepted. From 4 s after a drain, a connection with a call
   * within the last 2 s counts as a violation by the front end.
   */
  private static final long DRAIN_ACCEPT_MICROS = 1_900_000;

  /**
   * How long after a drain connections that still send calls are closed, before the 4 s after which
   * they count as a violation.
   */
  private static final long DRAIN_CLOSE_MICROS = 3_200_000;

  /**
   * The longest class deadline that counts at shutdown: the process is killed after that deadline,
   * capped at this value, plus 0.7 s.
   */
  private static final long MAX_COUNTED_DEADLINE_MICROS = 3_000_000;

  /** How long before it would be killed the process answers the calls that are still open. */
  private static final long SHUTDOWN_MARGIN_MICROS = 250_000;

  private final long shutdownGrace;
  private State state = State.STARTING;
  private long enteredAt;

  /**
   * @param longestDeadline the longest deadline of all call classes, in microseconds
   */
  public Lifecycle(long longestDeadline) {
    this.shutdownGrace =
        Math.min(longestDeadline, MAX_COUNTED_DEADLINE_MICROS)
            + ARRIVAL_GRACE_MICROS
            - SHUTDOWN_MARGIN_MICROS;
  }

  /** How long after the start of a shutdown open calls may run, in microseconds. */
  public long shutdownGrace() {
    return shutdownGrace;
  }

  /** The current state. */
  public State state() {
    return state;
  }

  /** Starts accepting calls, unless a shutdown has begun meanwhile. */
  public void serve(long now) {
    if (state == State.STARTING) {
      enter(State.SERVING, now);
    }
  }

  /**
   * Drains the process on request of an operator. Returns whether it is drained; a repeated drain
   * keeps the time of the first.
   */
  public boolean drain(long now) {
    if (state == State.SERVING) {
      enter(State.DRAINED, now);
    }
    return state == State.DRAINED;
  }

  /**
   * Ends a drain on request of an operator, also while connections are being closed. Returns
   * whether the process serves; one that shuts down does not go back to serving.
   */
  public boolean activate(long now) {
    if (state == State.DRAINED) {
      enter(State.SERVING, now);
    }
    return state == State.SERVING;
  }

  /**
   * Starts the shutdown.
   *
   * @param succeeded whether another process takes over the clients at the same address
   */
  public void shutDown(long now, boolean succeeded) {
    if (state != State.LEAVING && state != State.HANDING_OVER) {
      enter(succeeded ? State.HANDING_OVER : State.LEAVING, now);
    }
  }

  private void enter(State newState, long now) {
    state = newState;
    enteredAt = now;
  }

  /** Whether this process itself is ready to serve. */
  public boolean isReady() {
    return state == State.SERVING;
  }

  /**
   * Whether health checks pass. They do during a handover, since the front end as a whole accepts
   * clients.
   */
  public boolean isHealthy() {
    return state == State.SERVING || state == State.HANDING_OVER;
  }

  /** Whether connections are closed as soon as no call is open on them. */
  public boolean closesIdleConnections(long now) {
    return state == State.HANDING_OVER
        || state == State.DRAINED && now - enteredAt >= DRAIN_NOTICE_MICROS;
  }

  /** Whether calls on open connections are accepted; otherwise they are refused. */
  public boolean acceptsCalls(long now) {
    return switch (state) {
      case DRAINED -> now - enteredAt < DRAIN_ACCEPT_MICROS;
      case HANDING_OVER -> now - enteredAt < ARRIVAL_GRACE_MICROS;
      default -> true;
    };
  }

  /** Whether calls that are still open are answered as failed, since the process is killed soon. */
  public boolean endsOpenCalls(long now) {
    return (state == State.LEAVING || state == State.HANDING_OVER)
        && now - enteredAt >= shutdownGrace;
  }

  /**
   * Whether a connection is closed even with calls open on it.
   *
   * @param lastCall when the last call came on that connection
   */
  public boolean closesBusyConnection(long now, long lastCall) {
    return endsOpenCalls(now)
        || state == State.DRAINED
            && now - enteredAt >= DRAIN_CLOSE_MICROS
            && lastCall - enteredAt >= DRAIN_ACCEPT_MICROS;
  }
}
