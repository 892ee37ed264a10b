package umberrun.works;

import java.util.EnumSet;
import java.util.Set;

/**
 * Progress of one machine through its plan. The names are stored, and appear in lower case in the
 * audit trail, log lines and refusals; {@link #leadsTo} relies on their order.
 */
public enum Stage {
  /** Not started yet. */
  WAITING,
  /** Functions in use that only this machine has loaded are being loaded on other machines. */
  MOVING,
  /** Front ends have to stop sending to it. */
  GOING,
  /** Each front end has stopped sending; calls in flight may still run. */
  QUIET,
  /** No calls are left: operators may work on it. */
  FREE,
  /** The work is done and it may serve, but it is still cold. */
  BACK,
  /** Ready again. */
  DONE,
  /** Left out of the plan by an operator or because it was overdue. */
  SKIPPED,
  /** Taken out of the plan because something went wrong. */
  FAILED;

  private static final Set<Stage> FINAL_STAGES = EnumSet.of(DONE, SKIPPED, FAILED);
  private static final Set<Stage> OUT_STAGES = EnumSet.of(GOING, QUIET, FREE);

  /** Whether the plan has nothing left to do with the machine. */
  public boolean isOver() {
    return FINAL_STAGES.contains(this);
  }

  /** Whether front ends must not send to it. */
  public boolean isOut() {
    return OUT_STAGES.contains(this);
  }

  /** Whether its capacity counts as missing: it is about to go out, is out, or is back but cold. */
  public boolean isMissing() {
    return this == MOVING || isOut() || this == BACK;
  }

  /**
   * Whether a machine may change from this stage to {@code next}: to the directly following stage,
   * or out of the plan.
   */
  boolean leadsTo(Stage next) {
    if (isOver()) {
      return false;
    }
    return switch (next) {
      // Work may have begun on a free machine, so only an operator's "done" ends it.
      case SKIPPED -> this != FREE && this != BACK;
      case FAILED -> true;
      default -> next.ordinal() == ordinal() + 1;
    };
  }
}
