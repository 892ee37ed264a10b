package umberrun.works;

import java.util.EnumSet;
import java.util.Set;

/** How far a machine of a plan is. */
public enum Stage {
  WAITING,
  MOVING,
  GOING,
  QUIET,
  FREE,
  BACK,
  DONE,
  SKIPPED,
  FAILED;

  private static final Set<Stage> ENDED = EnumSet.of(DONE, SKIPPED, FAILED);
  private static final Set<Stage> OUT = EnumSet.of(GOING, QUIET, FREE);

  /** Whether nothing more comes of it. */
  public boolean isOver() {
    return ENDED.contains(this);
  }

  /** Whether front ends must not send to it. */
  public boolean isOut() {
    return OUT.contains(this);
  }

  /** Whether it counts as missing: it is about to go, out, or back and cold. */
  public boolean isMissing() {
    return this == MOVING || isOut() || this == BACK;
  }

  /**
   * Whether a machine may go from here to there: in order, without a stage left out, or out of the
   * plan.
   */
  boolean leadsTo(Stage next) {
    if (isOver()) {
      return false;
    }
    return switch (next) {
      case SKIPPED ->
          this != FREE && this != BACK; // work may have begun: it ends by its operator's word
      case FAILED -> true;
      default -> next.ordinal() == ordinal() + 1;
    };
  }
}
