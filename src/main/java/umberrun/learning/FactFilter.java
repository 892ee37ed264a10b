package umberrun.learning;

import saddlestall.Dispatcher.WorkerState;
import umberrun.learning.Fact.Kind;

/**
 * Decides which facts from other front ends may be used. This front end's own worker list and the
 * operators' suspensions always take precedence over a fact, whatever its age.
 */
public final class FactFilter {
  /**
   * The status of a worker according to this front end's own worker list and suspensions.
   *
   * @param startedAt when the worker last started according to the list or was last resumed, in
   *     Unix microseconds, or 0 if that is long ago
   */
  public record WorkerStatus(WorkerState state, long startedAt) {}

  private final long coldDuration;
  private final long maxAge;

  /**
   * Creates a filter; both times are in microseconds.
   *
   * @param coldDuration how long after its start a worker may be cold
   * @param maxAge facts older than this are rejected
   */
  public FactFilter(long coldDuration, long maxAge) {
    this.coldDuration = coldDuration;
    this.maxAge = maxAge;
  }

  /**
   * Returns whether a fact may be used.
   *
   * @param status the status of the worker that the fact is about, or null if the worker list does
   *     not contain it or the fact is about a function
   * @param now the current time in Unix microseconds
   */
  public boolean admits(Fact fact, WorkerStatus status, long now) {
    if (now - fact.seenAt() > maxAge) {
      return false;
    }
    if (fact.subject().kind() == Kind.FUNCTION) {
      return true;
    }
    // No fact brings back a worker that drains or is suspended.
    if (status == null || status.state() != WorkerState.READY) {
      return false;
    }
    // What was true of a worker before its last start is no longer valid.
    if (fact.seenAt() <= status.startedAt()) {
      return false;
    }
    boolean cold = status.startedAt() > 0 && now - status.startedAt() < coldDuration;
    // The latency that others saw must not make a cold worker look warm.
    return fact.subject().kind() != Kind.WORKER || !cold;
  }
}
