package umberrun.core;

import java.util.ArrayList;
import java.util.List;

/**
 * A call from its acceptance to its one final answer. Times are Unix microseconds of the dispatch
 * loop's {@link Clock}.
 */
public final class Call {
  final int id;
  final Request request;
  final Reply reply;
  final long deadline;

  /** How long before {@code deadline} the answer leaves at the latest, in microseconds. */
  final long answerMargin;

  final List<Attempt> attempts = new ArrayList<>(1);

  /**
   * The dispatcher's timers of this call and the deadline guard; cancelled when the call is over.
   */
  final List<Long> timers = new ArrayList<>(2);

  /**
   * Whether an attempt that has ended may have taken effect, as nothing proves that it never ran.
   */
  boolean mayHaveRun;

  /** Whether its request is claimed, since it may not run twice. */
  boolean isClaimed;

  /** Attempts that have been sent and have not ended. */
  int attemptsInFlight;

  /** Whether the call has ended; see {@link #isOver()}. */
  boolean isOver;

  /**
   * Whether the client has gone. Set at once, as the queue of the dispatch loop may take longer to
   * get to it.
   */
  private boolean clientGone;

  Call(int id, Request request, Reply reply, long deadline, long answerMargin) {
    this.id = id;
    this.request = request;
    this.reply = reply;
    this.deadline = deadline;
    this.answerMargin = answerMargin;
  }

  /** Whether the call has its final answer, or nobody needs one any more. */
  public boolean isOver() {
    return isOver;
  }

  /**
   * Sets whether a client waits for the answer. While none does, attempts in flight may finish, but
   * nothing more is sent.
   */
  void setClientWaiting(boolean waiting) {
    clientGone = !waiting;
  }

  /** Whether an attempt may still be sent for this call. */
  boolean isAwaited() {
    return !isOver && !clientGone;
  }
}
