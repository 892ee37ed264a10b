package umberrun.fleet;

/**
 * The metadata that a member publishes about itself. Addresses have the form host:port and are
 * empty where the member has none.
 *
 * @param hall the hall in which it runs
 * @param address where it listens for other members of its fleet
 * @param factAddress where it serves its facts about workers to other members
 * @param operatorAddress where it serves operators
 * @param release the release that it runs, as configured
 * @param traffic calls per second that it accepted recently
 * @param informed whether it knows of every member that may be alive: it has run for longer than
 *     any network partition lasts, or has completed a full exchange with an informed member
 */
public record About(
    String hall,
    String address,
    State state,
    String factAddress,
    String operatorAddress,
    String release,
    int traffic,
    boolean informed) {
  /** The stage of a member's service to clients. The order of the constants is the wire code. */
  public enum State {
    STARTING,
    SERVING,
    DRAINED,
    LEAVING
  }

  About withInformed(boolean newInformed) {
    return newInformed == informed
        ? this
        : new About(
            hall, address, state, factAddress, operatorAddress, release, traffic, newInformed);
  }
}
