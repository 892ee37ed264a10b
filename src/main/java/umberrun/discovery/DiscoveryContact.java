package umberrun.discovery;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tracks contact with discovery, and derives until when a worker that was once known to be ready
 * may be sent work. Free of I/O and of clocks: all times are microseconds of one monotonic clock,
 * passed in by the caller.
 *
 * <p>A response proves the worker list as of the moment of its request. Later changes count as
 * reported, although no report has arrived, at the latest {@link #REPORT_DELAY_MICROS} after they
 * happened, and sooner around a move to another discovery server and after a response that was cut
 * off.
 */
public final class DiscoveryContact {
  /** How long after a change discovery counts as having reported it. */
  public static final long REPORT_DELAY_MICROS = 7_000_000;

  /**
   * Changes until this long after a move to another discovery server count as reported at the end
   * of that time.
   */
  private static final long REPORT_DELAY_AFTER_MOVE_MICROS = 4_000_000;

  /**
   * Changes that a cut-off response would have reported count as reported this long after the cut.
   */
  private static final long REPORT_DELAY_AFTER_ABORT_MICROS = 2_000_000;

  /**
   * Discovery is unreachable after this time without a response. In normal operation a poll is
   * answered within half of it.
   */
  static final long UNREACHABLE_AFTER_MICROS = 2_500_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /**
   * How many deadlines are kept. Further ones are dropped, so in a burst of server moves the last
   * moves share the last deadline that was kept.
   */
  private static final int MAX_DEADLINES = 64;

  /**
   * Changes before {@code coversUntil} count as reported at {@code reportedAt}, until a response
   * arrives whose request was made at {@code recordedAt} or later.
   */
  private record Deadline(long recordedAt, long coversUntil, long reportedAt) {}

  /** How long a lease lasts after the proof that it rests on. */
  private final long leaseMicros;

  private final Deque<Deadline> deadlines = new ArrayDeque<>();
  private boolean followed;
  private long followedAt = NEVER;
  private long lastResponseAt = NEVER;

  /**
   * @param grace how long new work may still go to a worker after its drain counts as reported,
   *     less the time to reach the worker, in microseconds
   */
  public DiscoveryContact(long grace) {
    this.leaseMicros = REPORT_DELAY_MICROS + Math.max(0, grace);
  }

  /**
   * Starts to follow discovery as the source of the worker list. Without this, leases do not
   * expire.
   *
   * @param knownAt as of when the list that is known already was right
   */
  public void follow(long knownAt, long now) {
    followed = true;
    followedAt = now;
    lastResponseAt = Math.max(lastResponseAt, knownAt);
  }

  /**
   * Discards the proof of the known list, as another process has had contact with discovery since.
   */
  void discardResponses() {
    lastResponseAt = NEVER;
  }

  /** Records that discovery answered in full a request that was made at {@code askedAt}. */
  public void recordResponse(long askedAt) {
    lastResponseAt = Math.max(lastResponseAt, askedAt);
    deadlines.removeIf(deadline -> deadline.recordedAt <= askedAt);
  }

  /** Records a move to another discovery server at {@code at}. */
  public void recordServerMove(long at) {
    addDeadline(
        new Deadline(at, at + REPORT_DELAY_AFTER_MOVE_MICROS, at + REPORT_DELAY_AFTER_MOVE_MICROS));
  }

  /** Records that a response of discovery was cut off at {@code at}. */
  public void recordAbortedResponse(long at) {
    addDeadline(new Deadline(at, at, at + REPORT_DELAY_AFTER_ABORT_MICROS));
  }

  private void addDeadline(Deadline added) {
    // Every lease that such a deadline shortened has ended by now.
    deadlines.removeIf(deadline -> added.recordedAt - deadline.coversUntil > leaseMicros);
    if (deadlines.size() < MAX_DEADLINES) {
      deadlines.add(added);
    }
  }

  /** The time of the last request that discovery is known to have answered. */
  public long lastResponseAt() {
    return lastResponseAt;
  }

  /**
   * Whether a response of discovery is known that still counts, from this process itself or through
   * its configuration.
   */
  public boolean hasResponded() {
    return lastResponseAt != NEVER;
  }

  /** Whether discovery is followed as the source of the worker list. */
  public boolean isFollowed() {
    return followed;
  }

  /** Whether discovery has not responded for longer than it takes in normal operation. */
  public boolean isUnreachable(long now) {
    return followed && now - Math.max(lastResponseAt, followedAt) > UNREACHABLE_AFTER_MICROS;
  }

  /** Until when new work may be sent to a worker that was certainly ready at {@code provenAt}. */
  public long leaseUntil(long provenAt) {
    long leaseUntil = provenAt + leaseMicros;
    for (Deadline deadline : deadlines) {
      if (provenAt < deadline.coversUntil) {
        leaseUntil = Math.min(leaseUntil, deadline.reportedAt + leaseMicros - REPORT_DELAY_MICROS);
      }
    }
    return leaseUntil;
  }

  /** The time of the proof that a lease with this remaining time would rest on. */
  long provenAt(long now, long remaining) {
    return now + remaining - leaseMicros;
  }
}
