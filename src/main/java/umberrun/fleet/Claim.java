package umberrun.fleet;

/**
 * What is told of one member. Claims of one name are in a total order, of which a view keeps the
 * greatest.
 *
 * @param about what the member says of itself; null in an accusation, which names nothing but whom
 *     it accuses
 * @param accuser who suspects it, or held it dead first; else empty
 * @param age for how long it has been dead or has left, in microseconds; a duration, and no part of
 *     the order
 */
public record Claim(
    String name,
    ProcessGeneration life,
    long incarnation,
    Status status,
    About about,
    String accuser,
    long age)
    implements Comparable<Claim> {

  /** In the order in which claims of one incarnation win. */
  public enum Status {
    ALIVE,
    SUSPECT,
    DEAD,
    LEFT
  }

  @Override
  public int compareTo(Claim o) {
    int byLife = life.compareTo(o.life);
    if (byLife != 0) {
      return byLife;
    }
    return incarnation != o.incarnation
        ? Long.compare(incarnation, o.incarnation)
        : status.compareTo(o.status);
  }

  /** Whether the member takes part, as far as this claim goes. */
  public boolean isLiving() {
    return status == Status.ALIVE || status == Status.SUSPECT;
  }

  Claim with(Status other, String by) {
    return new Claim(name, life, incarnation, other, about, by, 0);
  }

  Claim with(About other) {
    return new Claim(name, life, incarnation, status, other, accuser, age);
  }

  Claim aged(long by) {
    return new Claim(name, life, incarnation, status, about, accuser, by);
  }

  /**
   * How many bytes it takes in a datagram, where its names are plain letters; those of others take
   * more.
   */
  int weight() {
    return 42
        + name.length()
        + accuser.length()
        + (about == null
            ? 0
            : 18
                + about.hall().length()
                + about.address().length()
                + about.learning().length()
                + about.door().length()
                + about.release().length());
  }

  /** The same without what the member says of itself: a quarter of the bytes. */
  Claim bare() {
    return status == Status.ALIVE ? this : with((About) null);
  }
}
