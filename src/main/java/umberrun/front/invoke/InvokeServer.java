package umberrun.front.invoke;

import com.google.gson.Gson;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.net.SocketAddress;
import java.security.SecureRandom;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import saddlestall.Dispatcher.CallClass;
import umberrun.admission.ConnectionLimits;
import umberrun.admission.ConnectionLimits.Purpose;
import umberrun.config.Config.SettingNames;
import umberrun.core.Clock;
import umberrun.core.DispatchLoop;
import umberrun.core.Invocation;
import umberrun.core.InvocationRegistry;
import umberrun.core.InvocationRegistry.KeyReused;
import umberrun.core.Lifecycle;
import umberrun.core.Request;
import umberrun.core.Result;
import umberrun.front.CallFields;
import umberrun.front.CallFields.InvalidField;
import umberrun.stats.Counters;
import umberrun.stats.Counters.Count;

/** The invoke API over HTTP/1.1: decodes a call, hands it on, encodes its one answer. */
public final class InvokeServer {
  private static final Pattern INVOKE = Pattern.compile("/v1/functions/([^/]+)/invocations");
  private static final Pattern COLLECT = Pattern.compile("/v1/invocations/([^/]+)");
  private static final int IDLE_SECONDS = 75;

  /**
   * A request must be whole so long after its head, and the first head must come so long after
   * connecting.
   */
  private static final long WHOLE_MILLIS = 5_000;

  private static final long LINGER_MILLIS = 500;
  private static final long LEAVING_MILLIS = 1_000;
  private static final long MOST_POLL_MILLIS = 30_000;

  private final Vertx vertx;
  private final HttpServer server;
  private final DispatchLoop owner;
  private final InvocationRegistry invocations;
  private final Counters counters;
  private final SettingNames names;
  private final ConnectionLimits account;
  private final SecureRandom random = new SecureRandom();

  /** Connections on which no request has come yet, with the timer of each, the oldest first. */
  private final Map<HttpConnection, Long> silent = new LinkedHashMap<>();

  private final Set<HttpConnection> all = new LinkedHashSet<>();
  private final Lifecycle duty;
  private final Clock clock;

  public InvokeServer(
      Vertx vertx,
      DispatchLoop owner,
      InvocationRegistry invocations,
      Counters counters,
      SettingNames names,
      Lifecycle duty,
      Clock clock,
      ConnectionLimits account) {
    this.vertx = vertx;
    this.duty = duty;
    this.clock = clock;
    this.owner = owner;
    this.invocations = invocations;
    this.counters = counters;
    this.names = names;
    this.account = account;
    this.server =
        vertx.createHttpServer(
            new HttpServerOptions()
                .setTcpNoDelay(true)
                .setReuseAddress(true)
                .setReusePort(true)
                .setIdleTimeout(IDLE_SECONDS)
                .setHandle100ContinueAutomatically(true)
                .setHttp2ClearTextEnabled(false));
    server.connectionHandler(
        c -> {
          if (!account.tryAcquire(Purpose.INVOKE)
              && !(makeRoom()
                  && account.tryAcquire(Purpose.INVOKE))) { // guards what the rest needs
            c.close();
            return;
          }
          all.add(c);
          silent.put(
              c,
              vertx.setTimer(
                  WHOLE_MILLIS, t -> c.close())); // guards against clients that say nothing
          c.closeHandler(
              v -> {
                forget(c);
                spoke(c);
              });
        });
    server.invalidRequestHandler(
        r -> new Problem(400, "not a readable request").write(r.response()));
    server.requestHandler(this::handle);
  }

  public Future<Integer> listen(SocketAddress address) {
    return server.listen(address).map(HttpServer::actualPort);
  }

  /** Lets go of all connections as soon as nothing is open on them, where that is due. */
  public void closeIdleConnections() {
    if (duty.closesIdleConnections(clock.now())) {
      List.copyOf(all).forEach(c -> c.shutdown(MOST_POLL_MILLIS, TimeUnit.MILLISECONDS));
    }
  }

  /** Ends all connections, each once what is asked on it has come whole and its answer has left. */
  public Future<Void> closeConnections() {
    return server.shutdown(WHOLE_MILLIS, TimeUnit.MILLISECONDS);
  }

  /**
   * The one that has been silent for longest returns its place at once; the system may take longer
   * to be done with it.
   */
  private boolean makeRoom() {
    if (silent.isEmpty()) {
      return false;
    }
    HttpConnection c = silent.keySet().iterator().next();
    forget(c);
    c.close();
    return true;
  }

  private void forget(HttpConnection c) {
    spoke(c);
    if (all.remove(c)) {
      account.release(Purpose.INVOKE);
    }
  }

  /** Whoever has sent the head of a request is no longer taken for silent. */
  private void spoke(HttpConnection c) {
    Long timer = silent.remove(c);
    if (timer != null) {
      vertx.cancelTimer(timer);
    }
  }

  private void handle(HttpServerRequest request) {
    spoke(request.connection());
    try {
      route(request);
    } catch (Problem e) {
      counters.add(Count.BAD_REQUESTS);
      e.write(request.response());
    }
  }

  private void route(HttpServerRequest request) throws Problem {
    String path = request.path() == null ? "" : request.path();
    Matcher invoke = INVOKE.matcher(path);
    Matcher collect = COLLECT.matcher(path);
    if (invoke.matches()) {
      allow(request, HttpMethod.POST);
      invoke(request, invoke.group(1));
    } else if (collect.matches()) {
      allow(request, HttpMethod.GET, HttpMethod.DELETE);
      collect(request, collect.group(1));
    } else if (path.equals("/v1/health")) {
      allow(request, HttpMethod.GET);
      boolean fit = duty.isHealthy();
      request.response().setStatusCode(fit ? 200 : 503).end(fit ? "passing\n" : "leaving\n");
    } else if (path.equals("/v1/counters")) {
      allow(request, HttpMethod.GET);
      request
          .response()
          .putHeader("Content-Type", "application/json")
          .end(new Gson().toJson(counters.snapshot()));
    } else {
      throw new Problem(404, "nothing is at this path");
    }
  }

  private static void allow(HttpServerRequest request, HttpMethod... methods) throws Problem {
    for (HttpMethod m : methods) {
      if (m.equals(request.method())) {
        return;
      }
    }
    StringBuilder allowed = new StringBuilder();
    for (HttpMethod m : methods) {
      allowed.append(allowed.length() == 0 ? "" : ", ").append(m.name());
    }
    request.response().putHeader("Allow", allowed);
    throw new Problem(405, "the method is not allowed here");
  }

  // ---------------------------------------------------------------- calls

  private void invoke(HttpServerRequest request, String function) throws Problem {
    Buffer body = Buffer.buffer();
    boolean[] refused = {false};
    long whole =
        vertx.setTimer(
            WHOLE_MILLIS,
            t -> { // guards against a body that stops midway
              refused[0] = true;
              counters.add(Count.BAD_REQUESTS);
              closeConnections(request, new Problem(408, "the request did not come whole in time"));
            });
    request.handler(
        piece -> {
          if (!refused[0]
              && body.length() + piece.length() > CallFields.MAX_BODY_BYTES) { // guards the memory
            refused[0] = true;
            counters.add(Count.BAD_REQUESTS);
            vertx.cancelTimer(whole);
            closeConnections(
                request,
                new Problem(
                    413, "the body is longer than " + CallFields.MAX_BODY_BYTES + " bytes"));
          } else if (!refused[0]) {
            body.appendBuffer(piece);
          }
        });
    request.endHandler(
        v -> {
          vertx.cancelTimer(whole);
          if (!refused[0]) {
            try {
              submit(request, function, body);
            } catch (Problem e) {
              counters.add(Count.BAD_REQUESTS);
              e.write(request.response());
            }
          }
        });
    request.exceptionHandler(
        e -> { // the client went before its call was whole
          vertx.cancelTimer(whole);
          refused[0] = true;
        });
  }

  /**
   * Answers a request that is not read to its end. A close while it still comes would cost the
   * client the answer.
   */
  private void closeConnections(HttpServerRequest request, Problem problem) {
    request.pause();
    request.response().putHeader("Connection", "close");
    problem.write(request.response());
    vertx.setTimer(LINGER_MILLIS, t -> request.connection().close());
  }

  private void submit(HttpServerRequest request, String function, Buffer body) throws Problem {
    PreferHeader preferences = PreferHeader.of(request.headers());
    try {
      Request call = call(request, function, body, preferences);
      if (!duty.acceptsCalls(clock.now())) {
        throw new Problem(
            503, "this front end is leaving; not run, trying again does no harm", LEAVING_MILLIS);
      }
      Invocation i = invocations.submit(call, Integer.toString(call.tenant()), preferences.async());
      if (!preferences.async()) {
        await(request, i, 0, null);
      } else if (i.result() instanceof Result.Refused r && r.overloaded()) {
        answer(request.response(), r);
      } else {
        poll(request, i, preferences.waitMillis());
      }
    } catch (InvalidField e) {
      throw new Problem(400, e.getMessage());
    } catch (KeyReused e) {
      throw new Problem(409, e.getMessage());
    }
  }

  /**
   * Reads a call. The documented headers are {@code Invoke-Class}, {@code Invoke-Tenant}, {@code
   * Invoke-Figures}.
   */
  private Request call(
      HttpServerRequest request, String function, Buffer body, PreferHeader preferences)
      throws InvalidField {
    int callClass = names.classes().indexOf(header(request, "Invoke-Class"));
    if (callClass < 0) {
      throw new InvalidField("Invoke-Class must name a class: " + names.classes());
    }
    int tenant = names.tenants().indexOf(header(request, "Invoke-Tenant"));
    if (tenant < 0 && !names.tenants().isEmpty()) {
      throw new InvalidField("Invoke-Tenant must name a tenant");
    }
    long number = CallFields.hex("the function", function);
    Buffer key = CallFields.key(unquoted(request.getHeader("Idempotency-Key")));
    CallFields.requireKey(owner.settings(), callClass, key);
    CallClass kind = owner.settings().classes().get(callClass);
    long wait = preferences.waitMillis() * 1_000;
    long patience =
        preferences.async() || wait < 0 ? kind.timeout() : Math.min(wait, kind.timeout());
    return new Request(
        Buffer.buffer(String.format("%016x", random.nextLong())),
        callClass,
        Math.max(0, tenant),
        Buffer.buffer(function),
        number,
        key,
        patience,
        false,
        CallFields.resourceHints(request.getHeader("Invoke-Figures")),
        body);
  }

  private static String header(HttpServerRequest request, String name) {
    String value = request.getHeader(name);
    return value == null ? "" : value;
  }

  /** The header is a structured string: its quotes are no part of the key. */
  private static String unquoted(String key) {
    boolean quoted = key != null && key.length() >= 2 && key.startsWith("\"") && key.endsWith("\"");
    return quoted ? key.substring(1, key.length() - 1) : key;
  }

  // ---------------------------------------------------------------- answers

  private void collect(HttpServerRequest request, String id) throws Problem {
    Invocation i = invocations.get(id);
    if (i == null) {
      throw new Problem(404, "no such invocation, or its result is no longer kept");
    }
    if (request.method().equals(HttpMethod.DELETE)) {
      invocations.cancel(i);
      request.response().setStatusCode(204).end();
    } else {
      poll(request, i, PreferHeader.of(request.headers()).waitMillis());
    }
  }

  /** Answers with the result if it comes within the wait, else with where it can be collected. */
  private void poll(HttpServerRequest request, Invocation i, long waitMillis) {
    boolean collects = request.method().equals(HttpMethod.GET);
    if (waitMillis <= 0 && (i.result() == null || !collects)) {
      accepted(request.response(), i);
    } else {
      await(
          request,
          i,
          Math.min(MOST_POLL_MILLIS, waitMillis),
          () -> accepted(request.response(), i));
    }
  }

  /**
   * Answers with the result, or with {@code meanwhile} after so many milliseconds; 0 waits for the
   * result.
   */
  private void await(HttpServerRequest request, Invocation i, long millis, Runnable meanwhile) {
    HttpServerResponse response = request.response();
    long[] timer = {-1};
    Consumer<Result> waiter =
        result -> {
          vertx.cancelTimer(timer[0]);
          answer(response, result);
        };
    if (millis > 0 && i.result() == null) {
      timer[0] =
          vertx.setTimer(
              millis,
              t -> {
                i.removeWaiter(waiter);
                meanwhile.run();
              });
    }
    response.closeHandler(
        v -> {
          if (!response.ended()) {
            vertx.cancelTimer(timer[0]);
            invocations.stopWaiting(i, waiter);
          }
        });
    i.await(waiter);
  }

  private static void accepted(HttpServerResponse response, Invocation i) {
    if (!response.closed() && !response.ended()) {
      response
          .setStatusCode(202)
          .putHeader("Location", "/v1/invocations/" + i.id())
          .putHeader("Retry-After", "1")
          .end();
    }
  }

  private static void answer(HttpServerResponse response, Result result) {
    if (response.closed() || response.ended()) {
      return;
    }
    if (result instanceof Result.Served s) {
      response
          .setStatusCode(200)
          .putHeader("Content-Type", "application/octet-stream")
          .end(s.body());
    } else if (result instanceof Result.Refused r) {
      new Problem(
              r.overloaded() ? 429 : 503, "not run; trying again does no harm", r.backoffMillis())
          .write(response);
    } else if (result instanceof Result.Failed f) {
      new Problem(
              f.timedOut() ? 504 : 502,
              f.timedOut()
                  ? "no answer in time; it may have run"
                  : "no worker served it; it may have run")
          .write(response);
    } else {
      new Problem(410, "the invocation was given up").write(response);
    }
  }
}
