package umberrun.consensus;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * The set of voters of one epoch. Consecutive sets differ by one key, so that their majorities
 * overlap.
 *
 * @param epoch number of the set, 0 while the voters are not known
 * @param keys of the voters, {@code name#store id}: a name with another store is another voter
 * @param leaving the key that the next set drops, which makes this set a transitional one; else
 *     empty
 * @param former the keys of the previous set
 */
public record VoterSet(long epoch, List<String> keys, String leaving, List<String> former) {
  /** Stands for a set that is not known yet. */
  public static final VoterSet UNKNOWN = new VoterSet(0, List.of(), "", List.of());

  /** Name of the register that holds the newest set. */
  public static final String REGISTER = "~voters";

  /** Written in place of an empty field. */
  private static final String NO_KEYS = "-";

  /** The set of epoch 1. */
  public static VoterSet first(List<String> keys) {
    return new VoterSet(1, List.copyOf(keys), "", List.of());
  }

  /** The front end name in a voter's key. */
  public static String nameOf(String key) {
    return key.substring(0, key.lastIndexOf('#'));
  }

  /** The key under which a front end votes, or null if it does not vote or is about to leave. */
  public String keyOf(String name) {
    return keys.stream()
        .filter(k -> nameOf(k).equals(name) && !k.equals(leaving))
        .findFirst()
        .orElse(null);
  }

  /**
   * The transitional set in which the newcomer votes as well and {@code leaver} is marked to leave.
   */
  VoterSet withReplacement(String newcomer, String leaver) {
    Set<String> extended = new LinkedHashSet<>(keys);
    extended.add(newcomer);
    return new VoterSet(epoch + 1, List.copyOf(extended), leaver, keys);
  }

  /** The set that follows a transitional one: the leaving voter is dropped. */
  VoterSet withoutLeaving() {
    return new VoterSet(
        epoch + 1, keys.stream().filter(k -> !k.equals(leaving)).toList(), "", keys);
  }

  /** Whether a voter is about to leave. */
  boolean isTransitional() {
    return !leaving.isEmpty();
  }

  /** Whether more than half of the keys are among those that answered. */
  static boolean isMajority(Set<String> answered, List<String> voterKeys) {
    return voterKeys.stream().filter(answered::contains).count() > voterKeys.size() / 2;
  }

  /** The text form, as stored in {@link #REGISTER} and sent in messages. */
  public String text() {
    return epoch
        + " "
        + join(keys)
        + " "
        + (leaving.isEmpty() ? NO_KEYS : leaving)
        + " "
        + join(former);
  }

  /**
   * Parses the result of {@link #text}; an empty text gives {@link #UNKNOWN}.
   *
   * @throws IllegalArgumentException if the text is not a voter set
   */
  public static VoterSet parse(String text) {
    if (text.isEmpty()) {
      return UNKNOWN;
    }
    String[] parts = text.split(" ", -1);
    if (parts.length != 4) {
      throw new IllegalArgumentException("no set of voters: '" + text + "'");
    }
    VoterSet set =
        new VoterSet(
            Long.parseLong(parts[0]),
            split(parts[1]),
            parts[2].equals(NO_KEYS) ? "" : parts[2],
            split(parts[3]));
    if (!set.keys.stream().allMatch(VoterSet::isKey)
        || !set.former.stream().allMatch(VoterSet::isKey)
        || !set.leaving.isEmpty() && !isKey(set.leaving)) {
      throw new IllegalArgumentException("no keys of voters: '" + text + "'");
    }
    return set;
  }

  private static boolean isKey(String text) {
    return text.lastIndexOf('#') > 0;
  }

  private static String join(List<String> all) {
    return all.isEmpty() ? NO_KEYS : String.join(",", all);
  }

  private static List<String> split(String text) {
    return text.equals(NO_KEYS) ? List.of() : Arrays.asList(text.split(","));
  }
}
