package umberrun.consensus;

/**
 * Identifies a proposal. Ballots are ordered by round, then by proposer name; no two proposers
 * share a ballot.
 *
 * @param round number of the attempt, 0 for none
 * @param proposer unique name of the proposer
 */
public record Ballot(long round, String proposer) implements Comparable<Ballot> {
  /** Smaller than every ballot of a proposer. */
  public static final Ballot NONE = new Ballot(0, "");

  @Override
  public int compareTo(Ballot other) {
    return round != other.round
        ? Long.compare(round, other.round)
        : proposer.compareTo(other.proposer);
  }

  @Override
  public String toString() {
    return round + "." + proposer;
  }
}
