package umberrun.learning;

import saddlestall.Dispatcher.WorkerState;
import umberrun.learning.Fact.Kind;

/**
 * What hearsay may not do: the own list and the operators' bans always win over a fact, whatever
 * its age.
 */
public final class FactFilter {
  /**
   * What the own list and bans say of a worker.
   *
   * @param startedAt when it last started, as told, 0 for long past
   */
  public record WorkerStatus(WorkerState state, long startedAt) {}

  private final long coldSpan;
  private final long most;

  /**
   * @param coldSpan how long after its start a worker may be cold
   * @param most age of a fact that is of any use
   */
  public FactFilter(long coldSpan, long most) {
    this.coldSpan = coldSpan;
    this.most = most;
  }

  /**
   * Whether a fact may be believed; {@code standing} is null where the list does not name its
   * worker.
   */
  public boolean admits(Fact fact, WorkerStatus standing, long now) {
    if (now - fact.seenAt() > most) {
      return false;
    }
    if (fact.subject().kind() == Kind.FUNCTION) {
      return true;
    }
    if (standing == null
        || standing.state()
            != WorkerState.READY) { // guards drains and bans: no fact revives a worker
      return false;
    }
    if (fact.seenAt()
        <= standing.startedAt()) { // guards against what was true of it before it started anew
      return false;
    }
    boolean cold = standing.startedAt() > 0 && now - standing.startedAt() < coldSpan;
    return fact.subject().kind() != Kind.WORKER
        || !cold; // a cold worker does not look warm by others' word
  }
}
