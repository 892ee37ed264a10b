package umberrun.fleet;

/**
 * A statement about one member, spread by gossip. Claims about the same name are totally ordered by
 * generation, incarnation and status; a view keeps the greatest.
 *
 * @param generation the process of the member that the claim is about
 * @param incarnation a counter that only the member itself increases, to refute an accusation or to
 *     publish new metadata
 * @param about the member's metadata; null in an accusation, which identifies the accused member
 *     only
 * @param accuser the member that suspects it or first declared it dead; empty otherwise
 * @param age for how long it has been dead or has left, in microseconds; not part of the order
 */
public record Claim(
    String name,
    ProcessGeneration generation,
    long incarnation,
    Status status,
    About about,
    String accuser,
    long age)
    implements Comparable<Claim> {

  /**
   * The member's status. Of two claims about one incarnation, the one with the later status wins.
   * The order of the constants is also the wire code.
   */
  public enum Status {
    ALIVE,
    SUSPECT,
    DEAD,
    LEFT
  }

  /** Bytes of the numbers and of the headers of a claim, without its texts. */
  private static final int FIXED_BYTES = 42;

  /** Bytes of the numbers and of the headers of the metadata, without its texts. */
  private static final int FIXED_ABOUT_BYTES = 18;

  @Override
  public int compareTo(Claim other) {
    int byGeneration = generation.compareTo(other.generation);
    if (byGeneration != 0) {
      return byGeneration;
    }
    return incarnation != other.incarnation
        ? Long.compare(incarnation, other.incarnation)
        : status.compareTo(other.status);
  }

  /** Whether this claim states that the member is alive or only suspected. */
  public boolean isLiving() {
    return status == Status.ALIVE || status == Status.SUSPECT;
  }

  Claim withStatus(Status newStatus, String newAccuser) {
    return new Claim(name, generation, incarnation, newStatus, about, newAccuser, 0);
  }

  Claim withAbout(About newAbout) {
    return new Claim(name, generation, incarnation, status, newAbout, accuser, age);
  }

  Claim withAge(long newAge) {
    return new Claim(name, generation, incarnation, status, about, accuser, newAge);
  }

  /**
   * Estimates the bytes that this claim takes in a datagram. Texts are counted as ASCII; other
   * characters take more.
   */
  int estimatedBytes() {
    return FIXED_BYTES
        + name.length()
        + accuser.length()
        + (about == null
            ? 0
            : FIXED_ABOUT_BYTES
                + about.hall().length()
                + about.address().length()
                + about.factAddress().length()
                + about.operatorAddress().length()
                + about.release().length());
  }

  /**
   * Returns this claim without metadata, which takes a quarter of the bytes; a claim with status
   * ALIVE keeps its metadata.
   */
  Claim compact() {
    return status == Status.ALIVE ? this : withAbout(null);
  }
}
