package umberrun.consensus;

/** The order in which proposals win; no two proposers share one. */
public record Ballot(long round, String proposer) implements Comparable<Ballot> {
  /** Before all others. */
  public static final Ballot NONE = new Ballot(0, "");

  @Override
  public int compareTo(Ballot o) {
    return round != o.round ? Long.compare(round, o.round) : proposer.compareTo(o.proposer);
  }

  @Override
  public String toString() {
    return round + "." + proposer;
  }
}
