package umberrun.consensus;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Who votes. Sets follow each other by epoch, each one key more or less than the one before.
 *
 * @param epoch 0 where it is not known yet who votes
 * @param keys {@code name#folder id}: a name with another folder is another voter
 * @param leaving the key that goes with the next set, or empty: such a set is on the way from one
 *     to another
 * @param former the keys of the set before
 */
public record VoterSet(long epoch, List<String> keys, String leaving, List<String> former) {
  public static final VoterSet UNKNOWN = new VoterSet(0, List.of(), "", List.of());

  /** The register in which the newest set stands. */
  public static final String REGISTER = "~voters";

  private static final String NONE = "-";

  /** The first set. */
  public static VoterSet first(List<String> keys) {
    return new VoterSet(1, List.copyOf(keys), "", List.of());
  }

  public static String nameOf(String key) {
    return key.substring(0, key.lastIndexOf('#'));
  }

  /** The key of a name among those that vote, or null. */
  public String keyOf(String name) {
    return keys.stream()
        .filter(k -> nameOf(k).equals(name) && !k.equals(leaving))
        .findFirst()
        .orElse(null);
  }

  /** The set on the way in which a newcomer votes beside all, and one of them is about to leave. */
  VoterSet with(String comes, String leaves) {
    Set<String> more = new LinkedHashSet<>(keys);
    more.add(comes);
    return new VoterSet(epoch + 1, List.copyOf(more), leaves, keys);
  }

  /** The set after the one on the way. */
  VoterSet withoutLeaving() {
    return new VoterSet(
        epoch + 1, keys.stream().filter(k -> !k.equals(leaving)).toList(), "", keys);
  }

  boolean isTransitional() {
    return !leaving.isEmpty();
  }

  static boolean isMajority(Set<String> said, List<String> of) {
    return of.stream().filter(said::contains).count() > of.size() / 2;
  }

  public String text() {
    return epoch
        + " "
        + join(keys)
        + " "
        + (leaving.isEmpty() ? NONE : leaving)
        + " "
        + join(former);
  }

  /** Reads what {@link #text} wrote; unknown where it is empty. */
  public static VoterSet parse(String text) {
    if (text.isEmpty()) {
      return UNKNOWN;
    }
    String[] parts = text.split(" ", -1);
    if (parts.length != 4) {
      throw new IllegalArgumentException("no set of voters: '" + text + "'");
    }
    VoterSet v =
        new VoterSet(
            Long.parseLong(parts[0]),
            split(parts[1]),
            parts[2].equals(NONE) ? "" : parts[2],
            split(parts[3]));
    if (!v.keys.stream().allMatch(VoterSet::isKey)
        || !v.former.stream().allMatch(VoterSet::isKey)
        || !v.leaving.isEmpty() && !isKey(v.leaving)) {
      throw new IllegalArgumentException("no keys of voters: '" + text + "'");
    }
    return v;
  }

  private static boolean isKey(String text) {
    return text.lastIndexOf('#') > 0;
  }

  private static String join(List<String> all) {
    return all.isEmpty() ? NONE : String.join(",", all);
  }

  private static List<String> split(String text) {
    return text.equals(NONE) ? List.of() : Arrays.asList(text.split(","));
  }
}
