package umberrun.fleet;

/**
 * A change of the view.
 *
 * @param at when it happened, in microseconds of this member's steady clock
 * @param by the member that first reported it, or the address of the other process in a name
 *     conflict; empty otherwise
 */
public record MembershipChange(long at, Kind kind, Claim claim, String by) {
  /** What has changed. Log events carry the names of the constants. */
  public enum Kind {
    /** A member appeared for the first time. */
    JOINED,
    SUSPECTED,
    /** A suspected member refuted the suspicion. */
    REFUTED,
    DIED,
    /** A member that was dead or had left is alive again. */
    RETURNED,
    /** Another process runs under the name. */
    RESTARTED,
    LEFT,
    /** A member published another {@link About.State}. */
    SAID,
    /** Another process uses the name of this member. */
    CLASH,
    /** This member gave up its name to another process. */
    YIELDED,
    /** A dead member or one that left was removed from the view. */
    FORGOTTEN,
    /** This member was accused and refuted it. */
    ACCUSED_SELF
  }
}
