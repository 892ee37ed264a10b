package umberrun.core;

import java.util.ArrayList;
import java.util.List;

/** A call from the moment it is taken to its one final answer. */
public final class Call {
  final int id;
  final Request request;
  final Reply reply;
  final long deadline;

  /** How long before that its answer leaves at the latest. */
  final long early;

  final List<Attempt> attempts = new ArrayList<>(1);

  /** The module's timers of this call and the last guard, cancelled when it is over. */
  final List<Long> timers = new ArrayList<>(2);

  /**
   * Whether an attempt may have had its effect: one is out, or ended without proof that it never
   * ran.
   */
  boolean mayHaveRun;

  int out;
  boolean isOver;

  /**
   * Whether its caller has gone: said at once, while the owner's queue may take longer to get
   * there.
   */
  private boolean left;

  Call(int id, Request request, Reply reply, long deadline, long early) {
    this.id = id;
    this.request = request;
    this.reply = reply;
    this.deadline = deadline;
    this.early = early;
  }

  /** Whether the one answer was given, or is no longer owed. */
  public boolean isOver() {
    return isOver;
  }

  /**
   * Says whether anybody waits for the answer; while nobody does, what is out may end, but nothing
   * more is sent.
   */
  void attended(boolean attended) {
    left = !attended;
  }

  /** Whether something may still be sent for it. */
  boolean isAwaited() {
    return !isOver && !left;
  }
}
