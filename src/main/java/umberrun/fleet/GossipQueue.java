package umberrun.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Claims that are passed on, each so many times; what was told least goes first. One for each name,
 * so it is bounded.
 */
final class GossipQueue {
  private static final double TIMES = 4;

  /** By how often they were told. */
  private final List<LinkedHashMap<String, Claim>> told = new ArrayList<>();

  private final Map<String, Integer> place = new HashMap<>();

  /** In the place of what was passed on of the same member before. */
  void add(Claim c) {
    drop(c.name());
    put(0, c);
  }

  void drop(String name) {
    Integer at = place.remove(name);
    if (at != null) {
      told.get(at).remove(name);
    }
  }

  private void put(int times, Claim c) {
    while (told.size() <= times) {
      told.add(new LinkedHashMap<>());
    }
    told.get(times).put(c.name(), c);
    place.put(c.name(), times);
  }

  /**
   * Takes claims of so many bytes at the most to be told once more, among {@code living} members.
   */
  List<Claim> take(int bytes, int living) {
    int times = (int) Math.ceil(TIMES * Math.log10(living + 1));
    List<Claim> taken = new ArrayList<>();
    int left = bytes;
    for (Map<String, Claim> rank : told) {
      for (Claim c : rank.values()) {
        left -= c.weight();
        if (left < 0) {
          break;
        }
        taken.add(c);
      }
    }
    for (Claim c : taken) {
      int next = place.get(c.name()) + 1;
      drop(c.name());
      if (next < times) {
        put(next, c);
      }
    }
    return taken;
  }

  int size() {
    return place.size();
  }
}
