package umberrun.learning.net;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.Supplier;
import umberrun.core.Clock;
import umberrun.core.DispatchLoop;
import umberrun.learning.FactPage;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;

/**
 * Fetches facts from running front ends before this one reports itself as ready. This fetching ends
 * at a fixed deadline, whether peers are silent, slow, send data without end or send invalid data.
 * After the start, new facts are fetched a few times from the best peer.
 */
public final class FactClient {
  /**
   * The section {@code learning} of the operator's file.
   *
   * @param listen address at which other front ends fetch facts from this one
   * @param peers front ends to fetch facts from
   * @param deadlineMillis maximum time that a start waits for the peers
   * @param pageBytes size of a page
   * @param bytesPerSecond limit of the bytes sent to other front ends
   */
  public record Settings(
      SocketAddress listen,
      List<SocketAddress> peers,
      long deadlineMillis,
      int pageBytes,
      long bytesPerSecond) {}

  private static final int MAX_CONCURRENT_PEERS = 3;

  /** Value of {@code withinMillis} that requests all facts. */
  private static final long ALL_FACTS = -1;

  private static final int MAX_PAGES_PER_PEER = 16;

  /**
   * A peer that has been running for less than this knows little: its facts are used, but other
   * peers are asked as well.
   */
  private static final long MIN_UPTIME_MICROS = 5_000_000;

  /** A page may exceed the configured size by its header and one fact. */
  private static final int PAGE_OVERHEAD_BYTES = 2_048;

  /** Interval at which new facts are fetched from the best peer after the start. */
  private static final long DELTA_MILLIS = 1_000;

  /** Number of such fetches; after that this front end has made its own observations. */
  private static final int MAX_DELTAS = 4;

  private final Vertx vertx;
  private final HttpClient client;
  private final DispatchLoop dispatchLoop;
  private final Clock clock;
  private final Counters counters;
  private final Settings settings;
  private final Consumer<String> log;
  private final Deque<SocketAddress> pendingPeers;
  private final Supplier<Future<List<SocketAddress>>> fleetPeers;
  private final Promise<Void> done = Promise.promise();
  private boolean fleetPeersPending;
  private int peerCount;
  private int activePeers;
  private int factsUsed;

  /** Whether a peer with a sufficient uptime has sent all its facts. */
  private boolean satisfied;

  /** The peer with the most facts used; new facts are fetched from it after the start. */
  private SocketAddress bestPeer;

  private int bestPeerFactsUsed;

  /**
   * Creates a client without connecting to any peer.
   *
   * @param fleetPeers returns the addresses of the living members of the fleet, the nearest first,
   *     once they are known; null if the fleet is disabled
   */
  public FactClient(
      Vertx vertx,
      DispatchLoop dispatchLoop,
      Clock clock,
      Counters counters,
      Settings settings,
      long seed,
      Supplier<Future<List<SocketAddress>>> fleetPeers,
      Consumer<String> log) {
    this.fleetPeers = fleetPeers;
    this.vertx = vertx;
    this.dispatchLoop = dispatchLoop;
    this.clock = clock;
    this.counters = counters;
    this.settings = settings;
    this.log = log;
    // Shuffled, so that a fleet that restarts does not ask the first peer of the file all at once.
    List<SocketAddress> shuffled = new ArrayList<>(settings.peers());
    Collections.shuffle(shuffled, new Random(seed));
    this.pendingPeers = new ArrayDeque<>(shuffled);
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setConnectTimeout((int) settings.deadlineMillis())
                .setDecompressionSupported(false),
            new PoolOptions().setHttp1MaxSize(1));
  }

  /**
   * Fetches facts. Completes once a peer with a sufficient uptime has sent all its facts, or all
   * peers were asked, or the deadline has passed.
   */
  public Future<Void> fetchFacts() {
    long startedAt = clock.now();
    long timer = vertx.setTimer(settings.deadlineMillis(), t -> done.tryComplete());
    peerCount = pendingPeers.size();
    if (fleetPeers != null) {
      fleetPeersPending = true;
      fleetPeers
          .get()
          .onComplete(
              found -> {
                fleetPeersPending = false;
                if (found.succeeded()) {
                  // Members that are known to be alive are asked before those of the file.
                  pendingPeers.removeAll(found.result());
                  for (int i = found.result().size() - 1; i >= 0; i--) {
                    pendingPeers.addFirst(found.result().get(i));
                  }
                  peerCount += found.result().size();
                }
                askPeers();
              });
    }
    askPeers();
    return done.future()
        .onComplete(
            v -> {
              vertx.cancelTimer(timer);
              scheduleDelta(1);
              log.accept(
                  "learning: "
                      + factsUsed
                      + " facts of use from "
                      + peerCount
                      + " peers in "
                      + (clock.now() - startedAt) / 1_000
                      + " ms");
            });
  }

  private void askPeers() {
    for (int i = activePeers; i < MAX_CONCURRENT_PEERS; i++) {
      askNextPeer();
    }
    if (activePeers == 0 && !fleetPeersPending) {
      done.tryComplete();
    }
  }

  private void askNextPeer() {
    SocketAddress peer = pendingPeers.poll();
    if (peer == null || satisfied || done.future().isComplete()) {
      return;
    }
    activePeers++;
    int usedBefore = factsUsed;
    fetchPages(peer, 0, 0, ALL_FACTS)
        .onSuccess(
            v -> {
              if (factsUsed - usedBefore > bestPeerFactsUsed) {
                bestPeer = peer;
                bestPeerFactsUsed = factsUsed - usedBefore;
              }
            })
        .onComplete(
            v -> onPeerDone(),
            e -> {
              log.accept("learning: " + peer + " sent no usable facts: " + e.getMessage());
              onPeerDone();
            });
  }

  private void onPeerDone() {
    activePeers--;
    askNextPeer();
    if (satisfied || activePeers == 0 && !fleetPeersPending) {
      done.tryComplete();
    }
  }

  /**
   * Schedules the next fetch of new facts from the best peer, which may have started only a moment
   * before this front end and continues to receive traffic. The request contains a duration, so
   * that it depends neither on synchronized clocks nor on state at the peer.
   */
  private void scheduleDelta(int round) {
    if (bestPeer == null || round > MAX_DELTAS) {
      client.close();
      return;
    }
    vertx.setTimer(
        DELTA_MILLIS,
        t ->
            fetchPages(bestPeer, 0, 0, DELTA_MILLIS + settings.deadlineMillis())
                .onFailure(
                    e ->
                        log.accept(
                            "learning: " + bestPeer + " sent no new facts: " + e.getMessage()))
                .onComplete(v -> scheduleDelta(round + 1)));
  }

  /**
   * Fetches a page of facts from a peer, and then the pages that follow it.
   *
   * @param from index of the first fact of the page
   * @param pages number of pages fetched before
   * @param withinMillis maximum age of the facts, or {@link #ALL_FACTS}
   */
  private Future<Void> fetchPages(SocketAddress peer, long from, int pages, long withinMillis) {
    long requestedAt = clock.now();
    counters.add(Count.PAGES_ASKED);
    return client
        .request(
            new RequestOptions()
                .setServer(peer)
                .setHost(peer.host())
                .setPort(peer.port())
                .setMethod(HttpMethod.GET)
                .setURI(
                    "/v1/knowledge?v="
                        + FactPage.VERSION
                        + "&from="
                        + from
                        + (withinMillis == ALL_FACTS ? "" : "&within_ms=" + withinMillis))
                .setTimeout(settings.deadlineMillis()))
        .compose(request -> request.send().compose(this::readBody))
        .compose(
            body -> {
              // After the deadline, calls are already dispatched without these facts.
              if (withinMillis == ALL_FACTS && done.future().isComplete()) {
                return Future.succeededFuture();
              }
              FactPage page;
              try {
                page = FactPage.read(body.toString(), clock.now(), clock.now() - requestedAt);
              } catch (FactPage.UnusablePage e) {
                return Future.failedFuture(e);
              }
              counters.add(Count.PAGES_USED);
              return dispatchLoop
                  .mergeFacts(page.facts())
                  .compose(
                      count -> {
                        factsUsed += count;
                        boolean more = page.next() > from && pages + 1 < MAX_PAGES_PER_PEER;
                        satisfied |= !more && page.uptime() >= MIN_UPTIME_MICROS;
                        return more
                            ? fetchPages(peer, page.next(), pages + 1, withinMillis)
                            : Future.succeededFuture();
                      });
            });
  }

  /** Reads the body of a response; fails on one that is too long, to bound the memory. */
  private Future<Buffer> readBody(HttpClientResponse response) {
    if (response.statusCode() != 200) {
      return Future.failedFuture("status " + response.statusCode());
    }
    Promise<Buffer> result = Promise.promise();
    Buffer body = Buffer.buffer();
    response.handler(
        chunk -> {
          body.appendBuffer(chunk);
          if (body.length() > settings.pageBytes() + PAGE_OVERHEAD_BYTES) {
            result.tryFail("the page exceeds the size limit");
            response.request().connection().close();
          }
        });
    response.endHandler(v -> result.tryComplete(body));
    response.exceptionHandler(result::tryFail);
    return result.future();
  }
}
