package umberrun.fleet;

import java.util.List;

/**
 * Another member, as the view has it. Times are in microseconds of the own steady clock, 0 for
 * never.
 */
public final class Peer {
  Claim claim;
  Suspicion suspicion;

  /** Since when it has this status. */
  long since;

  long heardAt;
  long roundTrip;

  /** Its address refused a connection while it was dead. */
  boolean refused;

  /** Came while others were missing. */
  boolean late;

  Peer(Claim claim, long now) {
    this.claim = claim;
    this.since = now;
  }

  public Claim claim() {
    return claim;
  }

  public long since() {
    return since;
  }

  public long heardAt() {
    return heardAt;
  }

  public long roundTrip() {
    return roundTrip;
  }

  /** Who suspects it now. */
  public Iterable<String> accusers() {
    return suspicion == null ? List.of() : suspicion.accusers;
  }
}
