package umberrun.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * Highest fencing token of each duty, as a receiver of acts remembers it. After a restart the
 * receiver accepts no act of a duty until it has read the duty's register. A holder writes its
 * fence there before it acts, so the register is at least as high as the fence of any act accepted
 * before: acts of a lower fence stay refused after a restart, without a disk. Free of I/O.
 */
public final class FenceRegistry {
  private final Map<String, Long> highestFences = new HashMap<>();

  /** Records the fence that was read from the register of a duty. */
  public void observe(String duty, long fence) {
    highestFences.merge(duty, fence, Math::max);
  }

  /**
   * Returns whether an act under this fence may be accepted. If so, acts of a lower fence are
   * refused from now on.
   */
  public boolean accept(String duty, long fence) {
    Long highest = highestFences.get(duty);
    if (highest == null || fence < highest) {
      return false;
    }
    highestFences.put(duty, fence);
    return true;
  }
}
