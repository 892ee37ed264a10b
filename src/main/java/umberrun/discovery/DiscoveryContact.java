package umberrun.discovery;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * What contact with discovery proves, and when what it has to tell counts as told though it did not
 * arrive. Free of I/O and of clocks: all times are microseconds of one steady clock, handed in by
 * the caller.
 *
 * <p>An answer proves the list as of the moment when it was asked for. What happens later counts as
 * told {@link #TOLD} after it happened at the latest, and sooner around a move of discovery and
 * behind an answer that broke off.
 */
public final class DiscoveryContact {
  /** What discovery has to tell counts as told this long after it happened. */
  public static final long TOLD = 7_000_000;

  /** What happens until this long after a move of discovery counts as told then. */
  private static final long TOLD_AFTER_MOVE = 4_000_000;

  /** What an answer would have told that broke off counts as told this long after the break. */
  private static final long TOLD_AFTER_BREAK = 2_000_000;

  /**
   * Discovery that was last heard so long ago is out of reach: a poll in good order is answered
   * within half of it.
   */
  static final long OUT_OF_REACH = 2_500_000;

  private static final long NEVER = Long.MIN_VALUE / 2;

  /** Deadlines kept at the most; of a storm of moves the last ones share the last deadline. */
  private static final int MOST_DEADLINES = 64;

  /**
   * What happened before {@code covers} counts as told at {@code told}, unless an answer asked for
   * since {@code at} has come.
   */
  private record Deadline(long at, long covers, long told) {}

  private final long term;
  private final Deque<Deadline> deadlines = new ArrayDeque<>();
  private boolean followed;
  private long followedAt = NEVER;
  private long lastResponseAt = NEVER;

  /**
   * @param grace how long new work may still go to a worker after its drain counts as told, less
   *     what the way there takes
   */
  public DiscoveryContact(long grace) {
    this.term = TOLD + Math.max(0, grace);
  }

  /**
   * From {@code now} on the list comes from discovery; what is known already was so at {@code
   * knownAt}. Without this a list never grows old.
   */
  public void follow(long knownAt, long now) {
    followed = true;
    followedAt = now;
    lastResponseAt = Math.max(lastResponseAt, knownAt);
  }

  /** The list as it is known proves nothing: another process has heard discovery since. */
  void disown() {
    lastResponseAt = NEVER;
  }

  /** Discovery answered, in full, what it was asked at that moment. */
  public void recordResponse(long askedAt) {
    lastResponseAt = Math.max(lastResponseAt, askedAt);
    deadlines.removeIf(d -> d.at <= askedAt);
  }

  /** Discovery answers elsewhere from that moment on. */
  public void recordServerMove(long at) {
    add(new Deadline(at, at + TOLD_AFTER_MOVE, at + TOLD_AFTER_MOVE));
  }

  /** Discovery had begun an answer, and it broke off. */
  public void recordAbortedResponse(long at) {
    add(new Deadline(at, at, at + TOLD_AFTER_BREAK));
  }

  private void add(Deadline next) {
    deadlines.removeIf(d -> next.at - d.covers > term); // all that it shortened is over
    if (deadlines.size() < MOST_DEADLINES) {
      deadlines.add(next);
    }
  }

  /** When discovery was last known to have been in contact. */
  public long lastResponseAt() {
    return lastResponseAt;
  }

  /**
   * Whether discovery was heard by this process, or told it something through its configuration
   * that still counts.
   */
  public boolean hasResponded() {
    return lastResponseAt != NEVER;
  }

  /** Whether a list comes from discovery at all. */
  public boolean isFollowed() {
    return followed;
  }

  /** Whether discovery has been silent for longer than it is when all is well. */
  public boolean isUnreachable(long now) {
    return followed && now - Math.max(lastResponseAt, followedAt) > OUT_OF_REACH;
  }

  /** Until when new work may be sent to a worker that was surely ready at {@code provenAt}. */
  public long leaseUntil(long provenAt) {
    long until = provenAt + term;
    for (Deadline d : deadlines) {
      if (provenAt < d.covers) {
        until = Math.min(until, d.told + term - TOLD);
      }
    }
    return until;
  }

  /** The proof from which a lease with so much left would follow, as another process counted it. */
  long provenAt(long now, long left) {
    return now + left - term;
  }
}
