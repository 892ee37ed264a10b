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
 * Carries out what the leases of workers call for: looks at them while discovery is out of reach,
 * and says in the log who is held back, since when and why. Sources of the list tell it of each
 * contact; called on the owner's thread only.
 */
public final class DiscoveryMonitor {
  /** What a change of leases is told to. */
  interface WorkerDirectory {
    Iterable<Integer> workers();

    String name(int worker);

    /** Whether the list says that a worker is ready. */
    boolean isListedReady(int worker);

    /** What holds for these workers has changed. */
    void restate(Collection<Integer> workers);

    /**
     * Work is wanted at these workers, the most urgent first; so many of them need it very soon.
     */
    void renew(List<Integer> workers, int urgent);
  }

  /** Workers named in one line of the log at the most. */
  private static final int MOST_NAMED = 12;

  private final Vertx vertx;
  private final Clock clock;
  private final Counters counters;
  private final Consumer<String> log;
  private final Consumer<Runnable> queue;
  private final WorkerDirectory table;
  private final DiscoveryContact contact;
  private final WorkerLeases leases;
  private long startedWith;
  private boolean away;

  /**
   * @param queue carries out a step in its turn, behind the news of the list that came before it
   * @param grace how long new work may go to a worker after its drain counts as told
   * @param salt another one at each front end
   */
  DiscoveryMonitor(
      Vertx vertx,
      Clock clock,
      Counters counters,
      Consumer<String> log,
      Consumer<Runnable> queue,
      long grace,
      int salt,
      WorkerDirectory table) {
    this.vertx = vertx;
    this.clock = clock;
    this.counters = counters;
    this.log = log;
    this.queue = queue;
    this.table = table;
    this.contact = new DiscoveryContact(grace);
    this.leases = new WorkerLeases(contact, salt);
  }

  WorkerLeases leases() {
    return leases;
  }

  /** The list comes from discovery from now on; what is known of it was so at {@code knownAt}. */
  public void follow(long knownAt) {
    contact.follow(knownAt, clock.now());
    startedWith = contact.lastResponseAt();
    vertx.setTimer(WorkerLeases.REVIEW_INTERVAL / 1_000, t -> beat());
  }

  private void beat() {
    queue.accept(this::review);
    vertx.setTimer(WorkerLeases.REVIEW_INTERVAL / 1_000, t -> beat());
  }

  /**
   * Discovery answered in full what it was asked at {@code askedAt}, and all that it told was
   * handed over.
   */
  public void onResponse(long askedAt) {
    queue.accept(
        () -> {
          contact.recordResponse(askedAt);
          review();
        });
  }

  /** Discovery answers elsewhere from now on, as was told at {@code at}. */
  public void onServerMoved(long at) {
    queue.accept(() -> contact.recordServerMove(at));
  }

  /** Discovery had begun an answer that did not come to its end. */
  public void onResponseAborted() {
    long at = clock.now();
    queue.accept(() -> contact.recordAbortedResponse(at));
  }

  /**
   * What is left of the leases, by name, for a process that takes over; null while there is no
   * discovery to lose. Not of a worker that the list drains: the other process may not know.
   */
  Map<String, Long> remainingLeases() {
    if (!contact.isFollowed()) {
      return null;
    }
    Map<String, Long> named = new TreeMap<>();
    leases
        .remaining(clock.now(), table.workers())
        .forEach(
            (worker, left) -> {
              if (table.isListedReady(worker)) {
                named.put(table.name(worker), left);
              }
            });
    return named;
  }

  /**
   * Goes on with the leases of the process that this one replaces, as they stood {@code age} ago.
   */
  void takeOver(Map<Integer, Long> left, long age) {
    leases.takeOver(left, clock.now() - age, startedWith);
    review();
  }

  private void review() {
    long now = clock.now();
    sayWhetherAway(now);
    Review review = leases.review(now, table.workers());
    if (!review.isEmpty()) {
      sayWhoIsHeldBack(review, now);
      List<Integer> changed = new ArrayList<>(review.heldBack());
      changed.addAll(review.released());
      changed.addAll(review.restarted());
      table.restate(changed);
    }
    if (!review.expiring().isEmpty()) {
      table.renew(review.expiring().stream().map(ExpiringLease::worker).toList(), review.urgent());
    }
  }

  private void sayWhetherAway(long now) {
    if (away == contact.isUnreachable(now)) {
      return;
    }
    away = !away;
    if (away) {
      counters.add(Count.DISCOVERY_LOST);
      log.accept("discovery: out of reach, last heard " + lastHeard(now));
    } else {
      log.accept("discovery: heard again, " + leases.heldBackCount() + " workers were held back");
    }
  }

  private void sayWhoIsHeldBack(Review review, long now) {
    review.heldBack().forEach(w -> counters.add(Count.WORKERS_HELD_BACK));
    review.released().forEach(w -> counters.add(Count.WORKERS_RELEASED));
    if (!review.heldBack().isEmpty()) {
      log.accept(
          "held back, as discovery was last heard "
              + lastHeard(now)
              + " and they took on no work since: "
              + names(review.heldBack()));
    }
    if (!review.released().isEmpty()) {
      log.accept(
          (away
                  ? "took on work, no longer held back: "
                  : "discovery is heard, no longer held back: ")
              + names(review.released()));
    }
    if (!review.restarted().isEmpty()) {
      log.accept(
          "started anew as far as can be told without discovery, or no longer so: "
              + names(review.restarted()));
    }
  }

  private String names(List<Integer> workers) {
    List<String> named = workers.stream().limit(MOST_NAMED).map(table::name).toList();
    int more = workers.size() - named.size();
    return String.join(", ", named) + (more > 0 ? " and " + more + " more" : "");
  }

  private String lastHeard(long now) {
    return contact.hasResponded()
        ? (now - contact.lastResponseAt()) / 1_000 + " ms ago"
        : "by the process before this one";
  }
}
