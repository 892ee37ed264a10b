package umberrun.fleet;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Claims that wait to be piggybacked on messages. Each is transmitted a limited number of times;
 * those transmitted least often go first. There is at most one claim for each member name, which
 * bounds the queue.
 */
final class GossipQueue {
  /** Transmissions of a claim for each factor of ten in the number of members. */
  private static final double RETRANSMIT_FACTOR = 4;

  /** The claims by the number of times that they were transmitted. */
  private final List<LinkedHashMap<String, Claim>> byTransmissions = new ArrayList<>();

  private final Map<String, Integer> transmissions = new HashMap<>();

  /** Adds a claim; it replaces any other claim about the same member. */
  void add(Claim claim) {
    remove(claim.name());
    put(0, claim);
  }

  void remove(String name) {
    Integer count = transmissions.remove(name);
    if (count != null) {
      byTransmissions.get(count).remove(name);
    }
  }

  private void put(int count, Claim claim) {
    while (byTransmissions.size() <= count) {
      byTransmissions.add(new LinkedHashMap<>());
    }
    byTransmissions.get(count).put(claim.name(), claim);
    transmissions.put(claim.name(), count);
  }

  /**
   * Selects claims for one message and counts a transmission of each.
   *
   * @param maxBytes the room in the message
   * @param members the number of living members, from which the limit of transmissions follows
   */
  List<Claim> take(int maxBytes, int members) {
    int maxTransmissions = (int) Math.ceil(RETRANSMIT_FACTOR * Math.log10(members + 1));
    List<Claim> taken = new ArrayList<>();
    int remainingBytes = maxBytes;
    for (Map<String, Claim> claims : byTransmissions) {
      for (Claim claim : claims.values()) {
        remainingBytes -= claim.estimatedBytes();
        if (remainingBytes < 0) {
          break;
        }
        taken.add(claim);
      }
    }
    for (Claim claim : taken) {
      int count = transmissions.get(claim.name()) + 1;
      remove(claim.name());
      if (count < maxTransmissions) {
        put(count, claim);
      }
    }
    return taken;
  }

  int size() {
    return transmissions.size();
  }
}
