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
 * Asks running instances what they know, before this one says that it is ready. Whatever peers do,
 * be silent, slow, endless or wrong, it is over at one deadline.
 */
public final class FactClient {
  /**
   * What the operator's file says.
   *
   * @param listen where other instances ask this one
   * @param peers whom to ask
   * @param deadlineMillis how long readiness waits for them at most
   * @param pageBytes a page's size
   * @param bytesPerSecond what answering others may cost
   */
  public record Settings(
      SocketAddress listen,
      List<SocketAddress> peers,
      long deadlineMillis,
      int pageBytes,
      long bytesPerSecond) {}

  private static final int AT_ONCE = 3;
  private static final long SNAPSHOT = -1;
  private static final int MOST_PAGES = 16;

  /**
   * One that has run for less has seen little; its facts are taken, but others are asked as well.
   */
  private static final long SETTLED_MICROS = 5_000_000;

  /** A page may be longer than was asked for by its head and one fact. */
  private static final int HEAD_BYTES = 2_048;

  /**
   * What is new at the peer is asked for so often, and at so many times: by then this instance has
   * seen for itself.
   */
  private static final long DELTA_MILLIS = 1_000;

  private static final int DELTAS = 4;

  private final Vertx vertx;
  private final HttpClient client;
  private final DispatchLoop owner;
  private final Clock clock;
  private final Counters counters;
  private final Settings settings;
  private final Consumer<String> log;
  private final Deque<SocketAddress> unasked;
  private final Supplier<Future<List<SocketAddress>>> members;
  private final Promise<Void> done = Promise.promise();
  private boolean membersDue;
  private int peers;
  private int asking;
  private int used;
  private boolean satisfied;

  /** The peer that has told most; what is new there is asked for afterwards. */
  private SocketAddress best;

  private int bestUsed;

  /**
   * @param members gives, once they are known, those who live now, the nearest first; null where
   *     nobody can tell
   */
  public FactClient(
      Vertx vertx,
      DispatchLoop owner,
      Clock clock,
      Counters counters,
      Settings settings,
      long seed,
      Supplier<Future<List<SocketAddress>>> members,
      Consumer<String> log) {
    this.members = members;
    this.vertx = vertx;
    this.owner = owner;
    this.clock = clock;
    this.counters = counters;
    this.settings = settings;
    this.log = log;
    List<SocketAddress> shuffled = new ArrayList<>(settings.peers());
    Collections.shuffle(
        shuffled, new Random(seed)); // guards the first peer of the file against a whole fleet
    this.unasked = new ArrayDeque<>(shuffled);
    this.client =
        vertx.createHttpClient(
            new HttpClientOptions()
                .setConnectTimeout((int) settings.deadlineMillis())
                .setDecompressionSupported(false),
            new PoolOptions().setHttp1MaxSize(1));
  }

  /**
   * Done once a peer that has run for a while has told all it knows, or all were asked, or the time
   * is up.
   */
  public Future<Void> fetchFacts() {
    long begun = clock.now();
    long timer = vertx.setTimer(settings.deadlineMillis(), t -> done.tryComplete());
    peers = unasked.size();
    if (members != null) {
      membersDue = true;
      members
          .get()
          .onComplete(
              m -> {
                membersDue = false;
                if (m.succeeded()) {
                  unasked.removeAll(
                      m.result()); // who is known to live is asked before who is only on the list
                  for (int i = m.result().size() - 1; i >= 0; i--) {
                    unasked.addFirst(m.result().get(i));
                  }
                  peers += m.result().size();
                }
                askSome();
              });
    }
    askSome();
    return done.future()
        .onComplete(
            v -> {
              vertx.cancelTimer(timer);
              follow(1);
              log.accept(
                  "learning: "
                      + used
                      + " facts of use from "
                      + peers
                      + " peers in "
                      + (clock.now() - begun) / 1_000
                      + " ms");
            });
  }

  private void askSome() {
    for (int i = asking; i < AT_ONCE; i++) {
      askNext();
    }
    if (asking == 0 && !membersDue) {
      done.tryComplete();
    }
  }

  private void askNext() {
    SocketAddress peer = unasked.poll();
    if (peer == null || satisfied || done.future().isComplete()) {
      return;
    }
    asking++;
    int before = used;
    ask(peer, 0, 0, SNAPSHOT)
        .onSuccess(
            v -> {
              if (used - before > bestUsed) {
                best = peer;
                bestUsed = used - before;
              }
            })
        .onComplete(
            v -> over(),
            e -> {
              log.accept("learning: " + peer + " is of no use: " + e.getMessage());
              over();
            });
  }

  private void over() {
    asking--;
    askNext();
    if (satisfied || asking == 0 && !membersDue) {
      done.tryComplete();
    }
  }

  /**
   * Asks the best peer for what it saw since: it may itself have begun a moment before, and traffic
   * goes on there. A duration says since when, so that no clock and no memory of us at the peer is
   * needed.
   */
  private void follow(int round) {
    if (best == null || round > DELTAS) {
      client.close();
      return;
    }
    vertx.setTimer(
        DELTA_MILLIS,
        t ->
            ask(best, 0, 0, DELTA_MILLIS + settings.deadlineMillis())
                .onFailure(
                    e -> log.accept("learning: " + best + " tells nothing new: " + e.getMessage()))
                .onComplete(v -> follow(round + 1)));
  }

  /** Asks for a page of what was seen within so many milliseconds, and then for what follows it. */
  private Future<Void> ask(SocketAddress peer, long from, int pages, long within) {
    long asked = clock.now();
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
                        + (within == SNAPSHOT ? "" : "&within_ms=" + within))
                .setTimeout(settings.deadlineMillis()))
        .compose(r -> r.send().compose(this::body))
        .compose(
            body -> {
              if (within == SNAPSHOT
                  && done.future()
                      .isComplete()) { // too late: calls are taken on other beliefs by now
                return Future.succeededFuture();
              }
              FactPage page;
              try {
                page = FactPage.read(body.toString(), clock.now(), clock.now() - asked);
              } catch (FactPage.UnusablePage e) {
                return Future.failedFuture(e);
              }
              counters.add(Count.PAGES_USED);
              return owner
                  .mergeFacts(page.facts())
                  .compose(
                      n -> {
                        used += n;
                        boolean more = page.next() > from && pages + 1 < MOST_PAGES;
                        satisfied |= !more && page.uptime() >= SETTLED_MICROS;
                        return more
                            ? ask(peer, page.next(), pages + 1, within)
                            : Future.succeededFuture();
                      });
            });
  }

  /** Guards the memory against a page without an end. */
  private Future<Buffer> body(HttpClientResponse response) {
    if (response.statusCode() != 200) {
      return Future.failedFuture("status " + response.statusCode());
    }
    Promise<Buffer> whole = Promise.promise();
    Buffer body = Buffer.buffer();
    response.handler(
        piece -> {
          body.appendBuffer(piece);
          if (body.length() > settings.pageBytes() + HEAD_BYTES) {
            whole.tryFail("its page has no end");
            response.request().connection().close();
          }
        });
    response.endHandler(v -> whole.tryComplete(body));
    response.exceptionHandler(whole::tryFail);
    return whole.future();
  }
}
