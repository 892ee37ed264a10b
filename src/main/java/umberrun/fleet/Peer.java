package umberrun.fleet;

import java.util.List;

/**
 * Another member in the view. Times are in microseconds of this member's steady clock, 0 for never.
 */
public final class Peer {
  Claim claim;

  /** The running suspicion; null where the member is not suspected. */
  Suspicion suspicion;

  long statusSince;
  long lastHeardAt;
  long roundTrip;

  /** Whether its address refused a connection while it was held dead. */
  boolean connectionRefused;

  /** Whether it joined while other members were missing. */
  boolean joinedDuringPartition;

  Peer(Claim claim, long now) {
    this.claim = claim;
    this.statusSince = now;
  }

  /** The greatest claim that is known about the member. */
  public Claim claim() {
    return claim;
  }

  /** When the member got its present status. */
  public long statusSince() {
    return statusSince;
  }

  /** When the last message came from the member itself. */
  public long lastHeardAt() {
    return lastHeardAt;
  }

  /** The duration of the last direct probe that was answered, in microseconds; 0 before one. */
  public long roundTrip() {
    return roundTrip;
  }

  /** The members that suspect it now. */
  public Iterable<String> accusers() {
    return suspicion == null ? List.of() : suspicion.accusers;
  }
}
