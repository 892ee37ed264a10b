package umberrun.transport;

import java.util.concurrent.TimeUnit;

/**
 * The connections of one listener, or all that this process opens, as they wait for their turns.
 * Interactive connections, whose input is usually read to its end, have most of the time among
 * them, however many others send more than is read. Does no I/O.
 *
 * @param <T> a connection
 */
final class ReadGroup<T> {
  /** Interactive connections get this many times the share of all others together. */
  private static final int INTERACTIVE_WEIGHT = 8;

  /**
   * A connection stops being interactive when its input has not been read to its end for so much of
   * the event loop's time.
   */
  private static final long INTERACTIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(2);

  /**
   * A connection of the group.
   *
   * @param <T> the connection
   */
  static final class Member<T> {
    private final FairQueue.Flow<Member<T>> interactive = new FairQueue.Flow<>(this, 1);
    private final FairQueue.Flow<Member<T>> backlogged = new FairQueue.Flow<>(this, 1);
    private final ReadGroup<T> group;
    private final T connection;
    private boolean drained = true;

    /** What was used since the input was last read to its end. */
    private long nanosSinceDrained;

    Member(ReadGroup<T> group, T connection) {
      this.group = group;
      this.connection = connection;
    }

    T connection() {
      return connection;
    }

    /**
     * Called at the end of a turn, before it is charged.
     *
     * @param drained whether the input was read to its end
     */
    void onTurnEnded(boolean drained) {
      this.drained = drained;
    }

    /** Charges the connection, and its class, for work on its behalf. */
    void charge(long nanos) {
      if (isInteractive()) {
        interactive.charge(nanos);
        group.interactive.flow.charge(nanos);
      } else {
        backlogged.charge(nanos);
        group.backlogged.flow.charge(nanos);
      }
      nanosSinceDrained = drained ? 0 : nanosSinceDrained + nanos;
    }

    private boolean isInteractive() {
      return nanosSinceDrained < INTERACTIVE_NANOS;
    }
  }

  /** The connections of one of the two kinds. */
  private static final class Kind<T> {
    private final FairQueue<Member<T>> members = new FairQueue<>();
    private final FairQueue.Flow<Kind<T>> flow;

    Kind(int weight) {
      flow = new FairQueue.Flow<>(this, weight);
    }
  }

  private final Kind<T> interactive = new Kind<>(INTERACTIVE_WEIGHT);
  private final Kind<T> backlogged = new Kind<>(1);
  private final FairQueue<Kind<T>> waiting = new FairQueue<>();

  /** Adds a connection, unless it waits already. */
  void add(Member<T> member) {
    Kind<T> kind = member.isInteractive() ? interactive : backlogged;
    kind.members.add(member.isInteractive() ? member.interactive : member.backlogged);
    waiting.add(kind.flow);
  }

  /** Removes and returns the connection to be served next; null if none waits. */
  Member<T> poll() {
    FairQueue.Flow<Kind<T>> next = waiting.poll();
    if (next == null) {
      return null;
    }
    Kind<T> kind = next.owner();
    Member<T> member = kind.members.poll().owner();
    if (!kind.members.isEmpty()) {
      waiting.add(next);
    }
    return member;
  }

  boolean isEmpty() {
    return waiting.isEmpty();
  }
}
