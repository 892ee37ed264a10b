package umberrun.fleet;

/**
 * What a member says of itself. Addresses have the form host:port and are empty where there is
 * none.
 *
 * @param address where it hears others of its fleet
 * @param learning where it tells what it knows of workers
 * @param door where operators call it
 * @param traffic calls a second that it took lately
 * @param informed whether it has heard of all that may live: it has run for longer than any cut
 *     lasts, or has had a full exchange with one that had heard of all
 */
public record About(
    String hall,
    String address,
    State state,
    String learning,
    String door,
    String release,
    int traffic,
    boolean informed) {
  /** How far a member is with serving clients. */
  public enum State {
    STARTING,
    SERVING,
    DRAINED,
    LEAVING
  }

  About informed(boolean is) {
    return is == informed
        ? this
        : new About(hall, address, state, learning, door, release, traffic, is);
  }
}
