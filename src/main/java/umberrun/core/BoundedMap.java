package umberrun.core;

import java.util.LinkedHashMap;
import java.util.Map;

/** A map of so many entries at the most; guards the memory on long days. */
final class BoundedMap<K, V> extends LinkedHashMap<K, V> {
  private static final long serialVersionUID = 1;

  private final int most;

  /**
   * @param byUse forgets the entry that was not asked for longest, else the one that came first
   */
  BoundedMap(int most, boolean byUse) {
    super(64, 0.75f, byUse);
    this.most = most;
  }

  @Override
  protected boolean removeEldestEntry(Map.Entry<K, V> eldest) {
    return size() > most;
  }
}
