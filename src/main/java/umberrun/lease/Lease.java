package umberrun.lease;

import umberrun.consensus.RegisterValue;

/**
 * Who holds a duty, as a register has it.
 *
 * @param holder its name, empty where nobody holds it
 * @param startId which process of that name
 * @param fence a number that grows with each change of hands
 * @param length how long it holds without a renewal, in microseconds
 */
public record Lease(String holder, long startId, long fence, long length) {
  static final Lease NONE = new Lease("", 0, 0, 0);

  /** What a register holds; fails with {@link IllegalArgumentException} where that is no lease. */
  public static Lease parse(RegisterValue v) {
    if (v.text().isEmpty()) {
      return NONE;
    }
    String[] parts =
        v.text()
            .split(" ", 4); // the name comes last: whatever is in it, the rest can be told apart
    if (parts.length != 4) {
      throw new IllegalArgumentException("no lease: '" + v.text() + "'");
    }
    return new Lease(
        parts[3], Long.parseLong(parts[0]), Long.parseLong(parts[1]), Long.parseLong(parts[2]));
  }

  String text() {
    return startId + " " + fence + " " + length + " " + holder;
  }

  boolean isHeld() {
    return !holder.isEmpty();
  }

  /** Whether this process of a front end has it. */
  public boolean isHeldBy(String name, long id) {
    return holder.equals(name) && startId == id;
  }
}
