package umberrun.core;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A map that evicts its eldest entry beyond a fixed size, so that memory use stays bounded however
 * long the process runs.
 */
final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1;

  private final int maxEntries;

  /**
   * @param maxEntries how many entries are kept
   * @param byAccess whether the least recently accessed entry is evicted, rather than the oldest
   */
  BoundedMap(int maxEntries, boolean byAccess) {
    super(64, 0.75f, byAccess);
    this.maxEntries = maxEntries;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > maxEntries;
  }
}
