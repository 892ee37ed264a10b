package umberrun.core;

import io.vertx.core.Vertx;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import umberrun.discovery.DiscoveryContact;
import umberrun.discovery.WorkerLeases;
import umberrun.discovery.WorkerLeases.ExpiringLease;
import umberrun.discovery.WorkerLeases.Review;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;

/**
 * Applies {@link WorkerLeases}: reviews the leases while discovery is unreachable, has expiring
 * ones renewed, and logs which workers are held back, since when and why. The sources of the worker
 * list report each contact with discovery here. Called on the thread of the dispatch loop only.
 */
public final class DiscoveryMonitor {
  /** The listed workers, and the receiver of lease changes. */
  interface WorkerDirectory {
    /** The numbers of all listed workers. */
    Iterable<Integer> workers();

    /** The name of a listed worker. */
    String name(int worker);

    /** Whether the list has the worker as ready. */
    boolean isListedReady(int worker);

    /** The effective state of these workers has changed. */
    void onStateChanged(Collection<Integer> workers);

    /**
     * Leases of these workers expire soon unless they accept work.
     *
     * @param workers the numbers of the workers, the shortest lease first
     * @param urgent how many of them, from the first on, need work very soon
     */
    void requestRenewal(List<Integer> workers, int urgent);
  }

  /** The number of workers named in one log line. */
  private static final int MAX_NAMED_WORKERS = 12;

  private final Vertx vertx;
  private final Clock clock;
  private final Counters counters;
  private final Consumer<String> log;
  private final Consumer<Runnable> eventQueue;
  private final WorkerDirectory directory;
  private final DiscoveryContact contact;
  private final WorkerLeases leases;
  private long initialResponseAt;
  private boolean unreachable;

  /**
   * @param eventQueue runs a step in its turn, after the list updates that were queued before it
   * @param grace how long new work may go to a worker after its drain counts as reported, in
   *     microseconds
   * @param salt a value that differs between front ends
   */
  DiscoveryMonitor(
      Vertx vertx,
      Clock clock,
      Counters counters,
      Consumer<String> log,
      Consumer<Runnable> eventQueue,
      long grace,
      int salt,
      WorkerDirectory directory) {
    this.vertx = vertx;
    this.clock = clock;
    this.counters = counters;
    this.log = log;
    this.eventQueue = eventQueue;
    this.directory = directory;
    this.contact = new DiscoveryContact(grace);
    this.leases = new WorkerLeases(contact, salt);
  }

  WorkerLeases leases() {
    return leases;
  }

  /**
   * Starts to follow discovery as the source of the worker list.
   *
   * @param knownAt as of when the list that is known already was right, in Unix microseconds
   */
  public void follow(long knownAt) {
    contact.follow(knownAt, clock.now());
    initialResponseAt = contact.lastResponseAt();
    vertx.setTimer(WorkerLeases.REVIEW_INTERVAL_MICROS / 1_000, t -> reviewAndReschedule());
  }

  private void reviewAndReschedule() {
    eventQueue.accept(this::review);
    vertx.setTimer(WorkerLeases.REVIEW_INTERVAL_MICROS / 1_000, t -> reviewAndReschedule());
  }

  /**
   * Discovery has answered a request in full, and the whole response has been handed on.
   *
   * @param askedAt when the request was made, in Unix microseconds
   */
  public void onResponse(long askedAt) {
    eventQueue.accept(
        () -> {
          contact.recordResponse(askedAt);
          review();
        });
  }

  /**
   * The configuration has named another discovery server.
   *
   * @param at when, in Unix microseconds
   */
  public void onServerMoved(long at) {
    eventQueue.accept(() -> contact.recordServerMove(at));
  }

  /** A response of discovery was cut off before its end. */
  public void onResponseAborted() {
    long at = clock.now();
    eventQueue.accept(() -> contact.recordAbortedResponse(at));
  }

  /**
   * The remaining time of the leases in microseconds, by worker name, for a process that takes
   * over; null where no discovery is followed. Leaves out workers that the list drains, as the
   * other process may not know of the drain.
   */
  Map<String, Long> remainingLeases() {
    if (!contact.isFollowed()) {
      return null;
    }
    Map<String, Long> byName = new TreeMap<>();
    leases
        .remaining(clock.now(), directory.workers())
        .forEach(
            (worker, remaining) -> {
              if (directory.isListedReady(worker)) {
                byName.put(directory.name(worker), remaining);
              }
            });
    return byName;
  }

  /**
   * Takes over the leases of the process that this one replaces.
   *
   * @param remaining the remaining time of the leases in microseconds, by worker number
   * @param age how long ago {@code remaining} was recorded, in microseconds
   */
  void takeOver(Map<Integer, Long> remaining, long age) {
    leases.takeOver(remaining, clock.now() - age, initialResponseAt);
    review();
  }

  private void review() {
    long now = clock.now();
    logReachability(now);
    Review review = leases.review(now, directory.workers());
    if (!review.isEmpty()) {
      logLeaseChanges(review, now);
      List<Integer> changed = new ArrayList<>(review.heldBack());
      changed.addAll(review.released());
      changed.addAll(review.restarted());
      directory.onStateChanged(changed);
    }
    if (!review.expiring().isEmpty()) {
      directory.requestRenewal(
          review.expiring().stream().map(ExpiringLease::worker).toList(), review.urgent());
    }
  }

  private void logReachability(long now) {
    if (unreachable == contact.isUnreachable(now)) {
      return;
    }
    unreachable = !unreachable;
    if (unreachable) {
      counters.add(Count.DISCOVERY_LOST);
      log.accept("discovery: out of reach, last heard " + formatLastResponse(now));
    } else {
      log.accept("discovery: heard again, " + leases.heldBackCount() + " workers were held back");
    }
  }

  private void logLeaseChanges(Review review, long now) {
    review.heldBack().forEach(worker -> counters.add(Count.WORKERS_HELD_BACK));
    review.released().forEach(worker -> counters.add(Count.WORKERS_RELEASED));
    if (!review.heldBack().isEmpty()) {
      log.accept(
          "held back, as discovery was last heard "
              + formatLastResponse(now)
              + " and they took on no work since: "
              + formatNames(review.heldBack()));
    }
    if (!review.released().isEmpty()) {
      log.accept(
          (unreachable
                  ? "took on work, no longer held back: "
                  : "discovery answers again, no longer held back: ")
              + formatNames(review.released()));
    }
    if (!review.restarted().isEmpty()) {
      log.accept(
          "restart inferred without discovery, or inference withdrawn: "
              + formatNames(review.restarted()));
    }
  }

  private String formatNames(List<Integer> workers) {
    List<String> shown = workers.stream().limit(MAX_NAMED_WORKERS).map(directory::name).toList();
    int more = workers.size() - shown.size();
    return String.join(", ", shown) + (more > 0 ? " and " + more + " more" : "");
  }

  private String formatLastResponse(long now) {
    return contact.hasResponded()
        ? (now - contact.lastResponseAt()) / 1_000 + " ms ago"
        : "by the previous process";
  }
}
