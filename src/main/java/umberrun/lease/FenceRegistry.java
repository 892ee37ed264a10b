package umberrun.lease;

import java.util.HashMap;
import java.util.Map;

/**
 * What whoever receives acts remembers: the highest fence of each duty. After a start it takes no
 * act until it has read the duty's register: each act that was ever taken came after its fence
 * stood there, so that no act of a lower fence is taken after a restart either, without a disk.
 * Free of I/O.
 */
public final class FenceRegistry {
  private final Map<String, Long> highest = new HashMap<>();

  /** The register of a duty was read, and has this fence. */
  public void observe(String duty, long fence) {
    highest.merge(duty, fence, Math::max);
  }

  /** Whether an act may be taken; if so none of a lower fence may any more. */
  public boolean accept(String duty, long fence) {
    Long known = highest.get(duty);
    if (known == null || fence < known) {
      return false;
    }
    highest.put(duty, fence);
    return true;
  }
}
