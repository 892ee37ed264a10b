package umberrun.lease;

import umberrun.consensus.RegisterValue;

/**
 * Lease of a duty, as stored in the duty's register.
 *
 * @param holder name of the front end that holds the duty, empty if nobody does
 * @param startId identifies the process among all that ever ran under that name
 * @param fence fencing token, which grows each time the duty is taken
 * @param length how long the lease is valid without a renewal, in microseconds
 */
public record Lease(String holder, long startId, long fence, long length) {
  static final Lease NONE = new Lease("", 0, 0, 0);

  /** Number of fields in the text; the holder comes last, as its name may contain spaces. */
  private static final int FIELDS = 4;

  /**
   * Parses the text of a register; an empty text is a duty that was never held.
   *
   * @throws IllegalArgumentException if the text is not a lease
   */
  public static Lease parse(RegisterValue value) {
    if (value.text().isEmpty()) {
      return NONE;
    }
    String[] parts = value.text().split(" ", FIELDS);
    if (parts.length != FIELDS) {
      throw new IllegalArgumentException("no lease: '" + value.text() + "'");
    }
    return new Lease(
        parts[3], Long.parseLong(parts[0]), Long.parseLong(parts[1]), Long.parseLong(parts[2]));
  }

  /** The text that {@link #parse} reads. */
  String text() {
    return startId + " " + fence + " " + length + " " + holder;
  }

  boolean isHeld() {
    return !holder.isEmpty();
  }

  /** Whether this process of this front end holds the lease. */
  public boolean isHeldBy(String name, long id) {
    return holder.equals(name) && startId == id;
  }
}
