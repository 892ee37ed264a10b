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
 * Sends long-polling requests to one HTTP server, over and over. The next poll follows at once on a
 * success and after a backoff on a failure. A poll that is late gets the next one beside it, on a
 * connection of its own, and is abandoned only some time later: the response of a slow server is
 * still used, and a server that has lost a request is asked again. If the server moves, open polls
 * are abandoned at once.
 */
final class LongPoller {
  /** One poll: sends its requests and applies the responses. */
  interface Poll extends Supplier<Future<Void>> {}

  /** A response began with status 200 and did not arrive in full. */
  static final class ResponseAborted extends RuntimeException {
    ResponseAborted(Throwable cause) {
      super(cause.getMessage(), cause, false, false);
    }
  }

  /** The connect timeout, and the margin beyond the time that a server is given to respond. */
  private static final long SLACK_MILLIS = 500;

  /** How long a late response is still awaited while newer polls run beside it. */
  static final long LATE_RESPONSE_MILLIS = 4_500;

  private static final int MAX_CONCURRENT_POLLS = 4;
  private static final long MIN_BACKOFF_MILLIS = 20;
  private static final long MAX_BACKOFF_MILLIS = 640;

  /** The size limit of a response body, enough for a list of some 16,000 workers. */
  private static final int MAX_BODY_BYTES = 4 << 20;

  private final Vertx vertx;
  private final HttpClient client;
  private final Counters counters;
  private SocketAddress address;
  private long backoffMillis = MIN_BACKOFF_MILLIS;

  /** The number of repeated polls that have not ended. */
  private int openPolls;

  /** The requests without a response so far, including those that wait for a connection. */
  private final Set<Promise<Response>> openRequests = new HashSet<>();

  /** The Vert.x timer of the backoff before the next repeated poll, or -1 if none is running. */
  private long backoffTimer = -1;

  /** What runs at the end of the backoff. */
  private Runnable retry;

  LongPoller(Vertx vertx, SocketAddress address, Counters counters) {
    this.vertx = vertx;
    this.address = address;
    this.counters = counters;
    this.client =
        vertx.createHttpClient(new HttpClientOptions().setConnectTimeout((int) SLACK_MILLIS));
  }

  /**
   * Repeats a poll for as long as the process runs.
   *
   * @param usualMillis the time within which a poll normally ends, in milliseconds
   */
  void repeat(long usualMillis, Poll poll) {
    new RepeatedPoll(usualMillis, poll).start();
  }

  /** One run of a poll that is repeated. */
  private final class RepeatedPoll {
    private final long usualMillis;
    private final Poll poll;

    /** Whether the next run was started while this one was late. */
    private boolean hasSuccessor;

    RepeatedPoll(long usualMillis, Poll poll) {
      this.usualMillis = usualMillis;
      this.poll = poll;
    }

    void start() {
      openPolls++;
      long lateTimer = vertx.setTimer(usualMillis + SLACK_MILLIS, t -> onLate());
      attempt(poll)
          .onComplete(
              v -> {
                backoffMillis = MIN_BACKOFF_MILLIS;
                end(lateTimer, this::startNext);
              },
              e -> end(lateTimer, () -> retryLater(this::startNext)));
    }

    private void onLate() {
      if (openPolls < MAX_CONCURRENT_POLLS) {
        counters.add(Count.POLLS_LATE);
        hasSuccessor = true;
        startNext();
      }
    }

    private void end(long lateTimer, Runnable continuation) {
      openPolls--;
      vertx.cancelTimer(lateTimer);
      if (!hasSuccessor) {
        continuation.run();
      }
    }

    private void startNext() {
      repeat(usualMillis, poll);
    }
  }

  /** Runs a poll until it has succeeded once. */
  void runUntilSuccess(Poll poll) {
    attempt(poll)
        .onFailure(
            e -> {
              counters.add(Count.POLLS_FAILED);
              vertx.setTimer(MAX_BACKOFF_MILLIS, t -> runUntilSuccess(poll));
            });
  }

  /**
   * Sends requests to another address from now on, the first one at once, as the old server may
   * stay silent. Open requests fail, including those that still wait for a connection: a response
   * of the old server must not be taken for one of the new server.
   */
  void moveTo(SocketAddress newAddress) {
    if (newAddress.equals(address)) {
      return;
    }
    address = newAddress;
    backoffMillis = 0;
    if (backoffTimer >= 0) {
      vertx.cancelTimer(backoffTimer);
      backoffTimer = -1;
      retry.run();
    } else {
      List.copyOf(openRequests).forEach(request -> request.tryFail("the server has moved"));
    }
  }

  /** Runs a poll; an exception that it throws, as on a malformed response, fails the future. */
  private static Future<Void> attempt(Poll poll) {
    return Future.<Void>succeededFuture().compose(v -> poll.get());
  }

  private void retryLater(Runnable nextPoll) {
    counters.add(Count.POLLS_FAILED);
    retry = nextPoll;
    backoffTimer =
        vertx.setTimer(
            Math.max(1, backoffMillis),
            t -> {
              backoffTimer = -1;
              nextPoll.run();
            });
    backoffMillis = Math.min(MAX_BACKOFF_MILLIS, Math.max(MIN_BACKOFF_MILLIS, 2 * backoffMillis));
  }

  /**
   * Sends one request. The future succeeds once a response with status 200 and its whole body have
   * arrived. The timeout includes the body, and a failure closes the connection: otherwise a
   * response that stops midway could keep the connection open forever.
   *
   * @param timeoutMillis the time that the server is given for the response, in milliseconds
   */
  Future<Response> request(HttpMethod method, String uri, Buffer body, long timeoutMillis) {
    Promise<Response> result = Promise.promise();
    AtomicBoolean responseStarted = new AtomicBoolean();
    long timer =
        vertx.setTimer(
            timeoutMillis + SLACK_MILLIS, t -> result.tryFail("no full response in time"));
    openRequests.add(result);
    client
        .request(
            new RequestOptions()
                .setServer(address)
                .setHost(address.host())
                .setPort(address.port())
                .setMethod(method)
                .setURI(uri))
        .compose(
            request -> {
              result.future().onFailure(e -> request.connection().close());
              return result.future().isComplete()
                  ? Future.failedFuture("the request was abandoned")
                  : request.send(body);
            })
        .compose(
            response -> {
              responseStarted.set(response.statusCode() == 200);
              return responseStarted.get()
                  ? readBody(response).map(received -> new Response(response, received))
                  : Future.failedFuture("status " + response.statusCode());
            })
        .onComplete(result::tryComplete, result::tryFail);
    return result
        .future()
        .onComplete(
            r -> {
              openRequests.remove(result);
              vertx.cancelTimer(timer);
            })
        .recover(e -> Future.failedFuture(responseStarted.get() ? new ResponseAborted(e) : e));
  }

  /** Reads the body of a response to its end; its size is limited to bound the memory used. */
  private static Future<Buffer> readBody(HttpClientResponse response) {
    Promise<Buffer> result = Promise.promise();
    Buffer body = Buffer.buffer();
    response.handler(
        chunk -> {
          if (body.length() + chunk.length() > MAX_BODY_BYTES) {
            result.tryFail("an answer of more than " + MAX_BODY_BYTES + " bytes");
          } else if (!result.future().isComplete()) {
            body.appendBuffer(chunk);
          }
        });
    response.end().onComplete(v -> result.tryComplete(body), result::tryFail);
    return result.future();
  }

  /** A response with status 200 and its body. */
  record Response(HttpClientResponse httpResponse, Buffer body) {
    JsonElement json() throws JsonParseException {
      return JsonParser.parseString(body.toString());
    }
  }
}
