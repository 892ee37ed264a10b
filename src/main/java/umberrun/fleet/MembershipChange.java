package umberrun.fleet;

/**
 * A change of the view.
 *
 * @param at in microseconds of the own steady clock
 * @param by who said so first, where somebody did; else why
 */
public record MembershipChange(long at, Kind kind, Claim claim, String by) {
  /** What has changed. */
  public enum Kind {
    JOINED,
    SUSPECTED,
    REFUTED,
    DIED,
    RETURNED,
    RESTARTED,
    LEFT,
    SAID,
    CLASH,
    YIELDED,
    FORGOTTEN,
    ACCUSED_SELF
  }
}
