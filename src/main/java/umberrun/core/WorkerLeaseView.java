package umberrun.core;

/**
 * What connections to workers need of the leases of workers; see {@link
 * umberrun.discovery.WorkerLeases}.
 */
public interface WorkerLeaseView {
  /**
   * Until when new work may be written to a worker as far as contact with discovery goes, in Unix
   * microseconds of the dispatch loop's {@link Clock}.
   */
  long leaseUntil(int worker);

  /** Reports that a worker's address refused a connection. */
  void onConnectionRefused(int worker);
}
