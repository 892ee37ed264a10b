package umberrun.workerlist;

import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.SocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Supplier;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;

/**
 * Asks a server that answers late, over and over: at once when it has answered, after a wait when
 * it has not. A round that is not over in time has the next one beside it, on a connection of its
 * own, and is given up a while later: a server that is slow is still heard, and one that has
 * forgotten a request is asked again. A round whose server has moved is given up at once.
 */
final class LongPoller {
  /** One round: asks, and takes in what was answered. */
  interface Poll extends Supplier<Future<Void>> {}

  /** The answer had begun, and did not come to its end. */
  static final class ResponseAborted extends RuntimeException {
    ResponseAborted(Throwable cause) {
      super(cause.getMessage(), cause, false, false);
    }
  }

  private static final long SLACK_MILLIS = 500;

  /** An answer that is so late is given up. */
  static final long LATE_MILLIS = 4_500;

  private static final int MOST_UNDER_WAY = 4;
  private static final long FIRST_RETRY_MILLIS = 20;
  private static final long LAST_RETRY_MILLIS = 640;

  /** Of one answer: a list of some 16,000 workers. */
  private static final int MOST_BYTES = 4 << 20;

  private final Vertx vertx;
  private final HttpClient client;
  private final Counters counters;
  private SocketAddress address;
  private long retryMillis = FIRST_RETRY_MILLIS;

  /** Rounds of what is repeated that have not ended. */
  private int underWay;

  /** What is asked and not answered yet, also what is still being dialled for. */
  private final Set<Promise<Answer>> asked = new HashSet<>();

  /** The wait for the next round of what is repeated. */
  private long retryTimer = -1;

  private Runnable retry;

  LongPoller(Vertx vertx, SocketAddress address, Counters counters) {
    this.vertx = vertx;
    this.address = address;
    this.counters = counters;
    this.client =
        vertx.createHttpClient(new HttpClientOptions().setConnectTimeout((int) SLACK_MILLIS));
  }

  /**
   * Repeats a round as long as the process lives.
   *
   * @param usualMillis after which a round in good order is over
   */
  void repeat(long usualMillis, Poll round) {
    new Turn(usualMillis, round).begin();
  }

  /** One round of those that are repeated. */
  private final class Turn {
    private final long usualMillis;
    private final Poll round;
    private boolean hasSuccessor;

    Turn(long usualMillis, Poll round) {
      this.usualMillis = usualMillis;
      this.round = round;
    }

    void begin() {
      underWay++;
      long late = vertx.setTimer(usualMillis + SLACK_MILLIS, t -> late());
      attempt(round)
          .onComplete(
              v -> {
                retryMillis = FIRST_RETRY_MILLIS;
                end(late, this::next);
              },
              e -> end(late, () -> retryLater(this::next)));
    }

    private void late() {
      if (underWay < MOST_UNDER_WAY) {
        counters.add(Count.POLLS_LATE);
        hasSuccessor = true;
        next();
      }
    }

    private void end(long late, Runnable then) {
      underWay--;
      vertx.cancelTimer(late);
      if (!hasSuccessor) {
        then.run();
      }
    }

    private void next() {
      repeat(usualMillis, round);
    }
  }

  /** Carries a round out once, however many tries that takes. */
  void once(Poll round) {
    attempt(round)
        .onFailure(
            e -> {
              counters.add(Count.POLLS_LOST);
              vertx.setTimer(LAST_RETRY_MILLIS, t -> once(round));
            });
  }

  /**
   * The server answers elsewhere from now on: it is asked there at once, since the old one may stay
   * silent. Guards against what the old one may yet say to a request, also to one that is still
   * being dialled for: it would be taken for the new one's word.
   */
  void moveTo(SocketAddress to) {
    if (to.equals(address)) {
      return;
    }
    address = to;
    retryMillis = 0;
    if (retryTimer >= 0) {
      vertx.cancelTimer(retryTimer);
      retryTimer = -1;
      retry.run();
    } else {
      List.copyOf(asked).forEach(a -> a.tryFail("the server has moved"));
    }
  }

  /** Guards the polling against an answer of another form than expected: it counts as lost. */
  private static Future<Void> attempt(Poll round) {
    return Future.<Void>succeededFuture().compose(v -> round.get());
  }

  private void retryLater(Runnable again) {
    counters.add(Count.POLLS_LOST);
    retry = again;
    retryTimer =
        vertx.setTimer(
            Math.max(1, retryMillis),
            t -> {
              retryTimer = -1;
              again.run();
            });
    retryMillis = Math.min(LAST_RETRY_MILLIS, Math.max(FIRST_RETRY_MILLIS, 2 * retryMillis));
  }

  /**
   * One request; the answer if its status is 200, with its body read. The time allowed covers the
   * body too, and the connection goes with it: guards against an answer that stops midway and stays
   * open.
   */
  Future<Answer> ask(HttpMethod method, String uri, Buffer body, long millis) {
    Promise<Answer> answer = Promise.promise();
    AtomicBoolean begun = new AtomicBoolean();
    long timer = vertx.setTimer(millis + SLACK_MILLIS, t -> answer.tryFail("not answered in time"));
    asked.add(answer);
    client
        .request(
            new RequestOptions()
                .setServer(address)
                .setHost(address.host())
                .setPort(address.port())
                .setMethod(method)
                .setURI(uri))
        .compose(
            r -> {
              answer.future().onFailure(e -> r.connection().close());
              return answer.future().isComplete() ? Future.failedFuture("given up") : r.send(body);
            })
        .compose(
            r -> {
              begun.set(r.statusCode() == 200);
              return begun.get()
                  ? whole(r).map(b -> new Answer(r, b))
                  : Future.failedFuture("status " + r.statusCode());
            })
        .onComplete(answer::tryComplete, answer::tryFail);
    return answer
        .future()
        .onComplete(
            a -> {
              asked.remove(answer);
              vertx.cancelTimer(timer);
            })
        .recover(e -> Future.failedFuture(begun.get() ? new ResponseAborted(e) : e));
  }

  /** The body, read to its end. Guards the memory against one that has none. */
  private static Future<Buffer> whole(HttpClientResponse response) {
    Promise<Buffer> whole = Promise.promise();
    Buffer body = Buffer.buffer();
    response.handler(
        piece -> {
          if (body.length() + piece.length() > MOST_BYTES) {
            whole.tryFail("an answer of more than " + MOST_BYTES + " bytes");
          } else if (!whole.future().isComplete()) {
            body.appendBuffer(piece);
          }
        });
    response.end().onComplete(v -> whole.tryComplete(body), whole::tryFail);
    return whole.future();
  }

  record Answer(HttpClientResponse response, Buffer body) {
    JsonElement json() throws JsonParseException {
      return JsonParser.parseString(body.toString());
    }
  }
}
