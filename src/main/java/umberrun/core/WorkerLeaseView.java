package umberrun.core;

/**
 * What the connections to workers ask and tell of leases; see {@link
 * umberrun.discovery.WorkerLeases}.
 */
public interface WorkerLeaseView {
  /**
   * Until when new work may be written to a worker as far as contact with discovery goes, in
   * microseconds on the owner's clock.
   */
  long leaseUntil(int worker);

  /** A worker's address refused a connection. */
  void onConnectionRefused(int worker);
}
