package umberrun;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertNotNull;
import static org.junit.Assert.assertTrue;
import static org.junit.Assert.fail;

import com.google.gson.JsonObject;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import io.vertx.core.Context;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.Value;
import sun.misc.Signal;
import umberrun.config.Config;
import umberrun.stats.Counters.Count;

/**
 * Runs front ends in this process and plays scenarios against them. Each line of a scenario names a
 * party, a verb (such as send, expect, close or wait) and arguments. Parties are clients of the
 * platform's protocol (c1), clients of the invoke API (h1), workers (w1, in hall-a; x1, in hall-b;
 * w1-b, in another cell), the change log (log) and Consul (consul). A client r1 of the invoke API
 * sends raw bytes, and d1 is a client of the operator interface. What a party expects must arrive
 * within ten seconds.
 */
final class Scenario implements AutoCloseable {
  /** How long to wait for anything that is expected. */
  static final long TIMEOUT_SECONDS = 10;

  private static final int RECEIVE_BUFFER_BYTES = 16 << 10;

  /** A connection that is not accepted within this shows that the backlog of a listener is full. */
  private static final int BACKLOG_FULL_MILLIS = 300;

  /** How long a poll of discovery is held if nothing has changed. */
  private static final long POLL_MILLIS = 1_000;

  /** Pause between two looks at a value that another thread sets. */
  private static final long SPIN_NANOS = TimeUnit.MICROSECONDS.toNanos(20);

  private static final int DEFAULT_SOCKETS = 8_192;
  private static final String LOOPBACK = "127.0.0.1";

  /** The settings of the deployment that most tests use. */
  static final String SETTINGS =
      """
      {"Classes":[{"Aim":800,"DedupWindow":5000,"GiveUp":4000,"Group":"all","Idempotency":"idempotent",
        "LateWorth":0.2,"Name":"date-lookup","Worth":1},
       {"Aim":800,"DedupWindow":5000,"GiveUp":5000,"Group":"zone","Idempotency":"deduplicated","LateWorth":0.3,
        "Name":"slot-change","Worth":3}],
       "FamilyInfo":{"MayLoad":true,"LoadsWithin":5000,"FreeLoads":4,"LoadsPerRequest":0.15,"MissMode":"load",
        "StaysLoaded":8600,"WarmNotes":true,"CountsAlike":true},
       "Limits":{"ConnectTimeout":250,"IdleClose":15000,"MayCancel":true,"MayDuplicate":true,"MayProbe":true,
        "MaxRetryAfter":1000,"MostTries":6,"RetryAfter":true,"StreamsPerConn":100},
       "Rules":{"AnswerSlack":16,"Cold":17000,"ColdFrom":0.18,"DrainGrace":1000,"Fall":1000,"FallMultiple":2},
       "Report":{"Fields":["utilization","x1","x0"],"Via":"pull"},"Siblings":3,"Zone":0,
       "Tenants":[{"Name":"central-council","Fraction":1,"QuotaPerS":500}],
       "Kinds":["std-2"],"Zones":["hall-a","hall-b","hall-c"]}""";

  private final Map<String, Worker> workers = new HashMap<>();
  private final Map<String, RawClient> rawClients = new HashMap<>();
  private final Map<String, RpcClient> clients = new HashMap<>();
  private final Map<String, CompletableFuture<HttpResponse<byte[]>>> responses = new HashMap<>();
  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
  private final Map<String, String> env;
  private final int sockets;
  private final String settings;
  private final Path sharedFolder;

  /** Answers as the change log and as Consul. */
  private HttpServer discoveryServer;

  /** The events of the change log. */
  private final List<String> events = new ArrayList<>();

  /** The name and the health status of each worker at Consul. */
  private final List<String> consulWorkers = new ArrayList<>();

  /** The front ends that are registered at Consul, by service id. */
  private final Map<String, JsonObject> instances = new java.util.concurrent.ConcurrentHashMap<>();

  /** The path and the body of each request to the Consul agent. */
  private final BlockingQueue<String> agentRequests = new LinkedBlockingQueue<>();

  /** What happens to the next polls of the change log. */
  private final BlockingQueue<PollFault> pollFaults = new LinkedBlockingQueue<>();

  private int consulIndex = 1;

  /** Whether Consul answers each request with an error. */
  volatile boolean consulFails;

  /** The Location header of the last answer that had one. */
  private String location;

  /** The front end that was started last. */
  Server server;

  /** Receives the reason if the event loop of a front end breaks down. */
  volatile Consumer<String> onEventLoopBroken = reason -> {};

  /** The name of the front end that is started next. */
  String name = "n1";

  private final List<Server> servers = new ArrayList<>();

  /**
   * Starts a front end with these workers.
   *
   * @param consul whether Consul lists the workers instead of the change log
   * @param operatorDeferred the section {@code deferred} of the operator's file, as JSON
   */
  Scenario(boolean consul, String operatorDeferred, String... names) throws Exception {
    this(DEFAULT_SOCKETS, consul, operatorDeferred, names);
  }

  /** Starts a front end with a limit on its sockets. */
  Scenario(int sockets, boolean consul, String operatorDeferred, String... names) throws Exception {
    this(sockets, SETTINGS, null, consul, operatorDeferred, names);
  }

  /** Starts a front end with other settings. */
  static Scenario with(String settings, String... names) throws Exception {
    return new Scenario(DEFAULT_SOCKETS, settings, null, false, "{}", names);
  }

  /** The mark that distinguishes a deployment with these settings from others of the same name. */
  static String deployment(String settings) throws Exception {
    Path file =
        Files.writeString(
            Files.createTempFile("config", ".json"),
            "{\"listen\":\"127.0.0.1:0\",\"changelog\":\"127.0.0.1:1\",\"settings\":"
                + settings
                + "}");
    file.toFile().deleteOnExit();
    return Config.read(Map.of("EDGE_CONFIG", file.toString())).deployment();
  }

  /** Starts a front end with an operator interface and a folder that it shares with a successor. */
  static Scenario withOperatorInterface(Path sharedFolder, String... names) throws Exception {
    return withOperatorInterface(SETTINGS, sharedFolder, names);
  }

  /** Starts a front end as {@link #withOperatorInterface} does, with other settings. */
  static Scenario withOperatorInterface(String settings, Path sharedFolder, String... names)
      throws Exception {
    return new Scenario(DEFAULT_SOCKETS, settings, sharedFolder, false, "{}", names);
  }

  /** Starts a front end as {@link #withOperatorInterface} does, whose workers Consul lists. */
  static Scenario withConsul(Path sharedFolder, String... names) throws Exception {
    return new Scenario(DEFAULT_SOCKETS, SETTINGS, sharedFolder, true, "{}", names);
  }

  /** The ids of the front ends that are registered at Consul. */
  Set<String> registeredInstances() {
    return Set.copyOf(instances.keySet());
  }

  private Scenario(
      int sockets,
      String settings,
      Path sharedFolder,
      boolean consul,
      String operatorDeferred,
      String... names)
      throws Exception {
    this.sockets = sockets;
    this.settings = settings;
    this.sharedFolder = sharedFolder;
    discoveryServer = startDiscoveryServer();
    for (String name : names) {
      workers.put(name, new Worker(name));
      addEvent(name, "in_service");
      consulWorkers.add(name + " passing");
    }
    JsonObject operator = new JsonObject();
    JsonObject invoke = new JsonObject();
    invoke.addProperty("listen", LOOPBACK + ":0");
    operator.add("invoke", invoke);
    operator.add("deferred", com.google.gson.JsonParser.parseString(operatorDeferred));
    if (consul) {
      JsonObject c = new JsonObject();
      c.addProperty("agent", discoveryAddress());
      c.addProperty("workers", "route-workers");
      operator.add("consul", c);
    }
    Path file = Files.writeString(Files.createTempFile("operator", ".json"), operator.toString());
    Path main = Files.writeString(Files.createTempFile("config", ".json"), config(0));
    file.toFile().deleteOnExit();
    main.toFile().deleteOnExit();
    env =
        Map.of(
            "EDGE_CONFIG",
            main.toString(),
            "UMBERRUN_OPERATOR",
            file.toString(),
            "EDGE_OPERATOR",
            sharedFolder == null ? "" : LOOPBACK + ":0");
    CompletableFuture<Server> made = new CompletableFuture<>();
    Server.handleSignals(env, made);
    server = start(env);
    made.complete(server);
  }

  private Server start(Map<String, String> env) throws Exception {
    return open(new Server(Config.read(env), sharedFolder, this::reportBrokenLoop));
  }

  private Server open(Server opened) throws Exception {
    servers.add(opened);
    opened.open().toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    return opened;
  }

  private void reportBrokenLoop(String reason) {
    onEventLoopBroken.accept(reason);
  }

  /**
   * Starts a second front end at the same client address, so that new clients reach either of them.
   *
   * @return the front end that {@link #server} was before
   */
  Server startSuccessor() throws Exception {
    Server previous = server;
    write(config(previous.rpcPort()));
    server = start(env);
    return previous;
  }

  /**
   * Starts a second front end like {@link #startSuccessor}, and runs the check as soon as operators
   * can connect to it, while it starts.
   *
   * @return the front end that {@link #server} was before
   */
  Server startSuccessorAnd(Check whileStarting) throws Exception {
    Server previous = server;
    CompletableFuture<Void> opened = beginSuccessor();
    whileStarting.run();
    opened.get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    return previous;
  }

  /**
   * Begins to start a second front end at the same client address, and returns as soon as operators
   * can connect to it, while it starts.
   */
  CompletableFuture<Void> beginSuccessor() throws Exception {
    write(config(server.rpcPort()));
    server = new Server(Config.read(env), sharedFolder, this::reportBrokenLoop);
    servers.add(server);
    CompletableFuture<Void> opened = server.open().toCompletionStage().toCompletableFuture();
    while (server.operatorPort() == 0) {
      LockSupport.parkNanos(SPIN_NANOS);
    }
    return opened;
  }

  /**
   * Starts another front end beside this one. After it has read its configuration, and before it
   * opens, the change log moves and the signal to reload arrives.
   */
  void startWhileChangeLogMoves() throws Exception {
    CompletableFuture<Server> made = new CompletableFuture<>();
    Server.handleSignals(env, made);
    write(config(0));
    Server next = new Server(Config.read(env), sharedFolder, this::reportBrokenLoop);
    moveChangeLogBy(
        text -> {
          write(text);
          Signal.raise(new Signal("HUP"));
        });
    while (made.getNumberOfDependents() < 1) {
      // Until the handler of the signal waits for the server.
      Thread.onSpinWait();
    }
    made.complete(next);
    server = open(next);
  }

  /**
   * Starts another front end beside this one, with the same workers, which fetches facts from these
   * peers.
   *
   * @return the front end that {@link #server} was before
   */
  Server startWithFactPeers(String... peers) throws Exception {
    JsonObject learning = new JsonObject();
    learning.addProperty("listen", LOOPBACK + ":0");
    learning.add("peers", new com.google.gson.Gson().toJsonTree(peers));
    JsonObject file = new JsonObject();
    file.add("learning", learning);
    return startBeside(file);
  }

  /**
   * Starts another front end beside this one with this operator's file.
   *
   * @return the front end that {@link #server} was before
   */
  Server startBeside(JsonObject file) throws Exception {
    Server previous = server;
    Map<String, String> other = new HashMap<>(env);
    other.put(
        "UMBERRUN_OPERATOR",
        Files.writeString(Files.createTempFile("operator", ".json"), file.toString()).toString());
    Path main = Path.of(env.get("EDGE_CONFIG"));
    Files.writeString(main, config(0));
    server = start(other);
    return previous;
  }

  /** The status, the Retry-After header and the body of the answer to a GET request. */
  String get(int port, String path) throws Exception {
    HttpResponse<String> response =
        http.send(
            HttpRequest.newBuilder(URI.create("http://" + LOOPBACK + ":" + port + path)).build(),
            HttpResponse.BodyHandlers.ofString());
    return response.statusCode()
        + " "
        + response.headers().firstValue("Retry-After").orElse("")
        + " "
        + response.body();
  }

  /**
   * Starts a second front end at the same client address as a process of its own, and returns once
   * it is ready.
   *
   * @param temporary the {@code TMPDIR} of the process
   * @param door the port of its operator interface
   */
  Process startSuccessorProcess(Path temporary, int door, String settings) throws Exception {
    return startSuccessor(temporary, door, settings, "umberrun.Main");
  }

  /**
   * Does the same from a parent process that ignores SIGHUP, the signal that announces a new
   * configuration.
   */
  Process startSuccessorIgnoringHup(Path temporary, int door) throws Exception {
    return startSuccessor(
        temporary, door, settings, "umberrun.Main", "sh", "-c", "trap '' HUP; exec \"$0\" \"$@\"");
  }

  /**
   * Starts a second process of this front end and waits until it is ready.
   *
   * @param temporary its folder for temporary files
   * @param mainClass runs it, given the argument {@code serve}
   * @param launcher the start of the command line that runs the virtual machine
   */
  Process startSuccessor(
      Path temporary, int door, String settings, String mainClass, String... launcher)
      throws Exception {
    write(config(server.rpcPort(), settings));
    List<String> command = new ArrayList<>(List.of(launcher));
    command.addAll(
        List.of(
            Path.of(System.getProperty("java.home"), "bin", "java").toString(),
            "-cp",
            System.getProperty("java.class.path"),
            mainClass,
            "serve"));
    return process(temporary, door, command);
  }

  private Process process(Path temporary, int door, List<String> command) throws Exception {
    ProcessBuilder builder =
        new ProcessBuilder(command)
            .redirectOutput(ProcessBuilder.Redirect.INHERIT)
            .redirectError(ProcessBuilder.Redirect.INHERIT);
    builder
        .environment()
        .putAll(
            Map.of(
                "EDGE_CONFIG",
                env.get("EDGE_CONFIG"),
                "EDGE_OPERATOR",
                LOOPBACK + ":" + door,
                "TMPDIR",
                temporary.toString()));
    Process started = builder.start();
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (!isReady(door)) {
      assertTrue("the second process is not ready", started.isAlive() && System.nanoTime() < end);
      Thread.sleep(20);
    }
    return started;
  }

  private boolean isReady(int door) throws InterruptedException {
    try {
      return http.send(
                  HttpRequest.newBuilder(
                          URI.create("http://" + LOOPBACK + ":" + door + "/v1/readyz"))
                      .build(),
                  HttpResponse.BodyHandlers.ofString())
              .statusCode()
          == 200;
    } catch (IOException e) {
      // The process does not listen yet.
      return false;
    }
  }

  private HttpServer startDiscoveryServer() throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 0);
    server.setExecutor(
        java.util.concurrent.Executors.newCachedThreadPool(
            r -> {
              Thread t = new Thread(r);
              t.setDaemon(true);
              return t;
            }));
    server.createContext("/changes", this::answerPoll);
    server.createContext("/v1/", this::answerConsul);
    server.start();
    return server;
  }

  String discoveryAddress() {
    return LOOPBACK + ":" + discoveryServer.getAddress().getPort();
  }

  private String config(int port) {
    return config(port, settings);
  }

  private String config(int port, String settings) {
    return "{\"name\":\""
        + name
        + "\",\"listen\":\"127.0.0.1:"
        + port
        + "\",\"seed\":\"1\",\"limits\":{\"memory_mb\":12,\"sockets\":"
        + sockets
        + "},\"changelog\":\""
        + discoveryAddress()
        + "\",\"known\":"
        + changesSince(0)
        + ",\"settings\":"
        + settings
        + "}";
  }

  /**
   * Plays these lines, and then runs the check, while the event loop of the front end is blocked,
   * as on a machine that falls behind.
   */
  void playWhileLoopBlocked(String lines, Check check) throws Exception {
    playWhileBlocked(block -> server.context().runOnContext(v -> block.run()), lines, check);
  }

  /**
   * Plays these lines while the event loop is blocked, so that timers that are due in that time
   * fire only after the lines.
   *
   * @param from when the loop is blocked, in milliseconds from now; two turns of the loop later, to
   *     be precise
   * @param more for how long it stays blocked after the lines, in milliseconds
   */
  void playWhileLoopBlockedAt(long from, long more, String lines) throws Exception {
    Context loop = server.context();
    playWhileBlocked(
        block ->
            loop.runOnContext(
                v ->
                    loop.owner()
                        .setTimer(
                            from,
                            t -> loop.runOnContext(x -> loop.runOnContext(y -> block.run())))),
        lines,
        () -> LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(more)));
  }

  /**
   * Blocks the event loop, plays the lines and runs the check.
   *
   * @param arrange has the event loop run the task that blocks it
   */
  private void playWhileBlocked(Consumer<Runnable> arrange, String lines, Check check)
      throws Exception {
    CountDownLatch blocked = new CountDownLatch(1);
    CountDownLatch released = new CountDownLatch(1);
    arrange.accept(
        () -> {
          blocked.countDown();
          try {
            released.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
    blocked.await();
    try {
      play(lines);
      check.run();
    } finally {
      released.countDown();
    }
  }

  /**
   * Moves the change log to another address and reloads the configuration with that. The old server
   * accepts polls but no longer answers them.
   */
  void moveChangeLog() throws Exception {
    moveChangeLogBy(config -> reload(config, Count.CONFIGS_TAKEN));
  }

  /** Moves the change log, and puts the new configuration in place as the argument says. */
  void moveChangeLogBy(Reload reload) throws Exception {
    discoveryServer = startDiscoveryServer();
    reload.with(config(0));
  }

  /** Ends the change log; nothing listens at its address any more. */
  void stopChangeLog() {
    discoveryServer.stop(0);
  }

  /** Puts a configuration in place. */
  interface Reload {
    void with(String config) throws Exception;
  }

  /** Replaces the configuration file, without a signal. */
  void write(String config) throws IOException {
    Files.writeString(Path.of(env.get("EDGE_CONFIG")), config);
  }

  /**
   * Replaces the configuration file and sends the signal to reload it. Returns once the counter
   * {@code outcome} has increased.
   */
  void reload(String config, Count outcome) throws Exception {
    long before = server.counters().get(outcome);
    write(config);
    Signal.raise(new Signal("HUP"));
    await(outcome, before);
  }

  /** Starts a front end with these workers and the default limits for deferred calls. */
  static Scenario of(String... workers) throws Exception {
    return new Scenario(false, "{}", workers);
  }

  /** Plays the lines of a scenario. */
  Scenario play(String text) throws Exception {
    for (String line : text.strip().split("\n")) {
      try {
        step(line.strip().split("\\s+"));
      } catch (AssertionError e) {
        throw new AssertionError("at '" + line.strip() + "': " + e.getMessage(), e);
      }
    }
    return this;
  }

  private void step(String[] words) throws Exception {
    String party = words[0];
    String verb = words[1];
    String[] rest = Arrays.copyOfRange(words, 2, words.length);
    switch (party.charAt(0)) {
      case 'w', 'x' -> workerStep(party, verb, rest);
      case 'c' -> {
        if (party.equals("consul")) {
          consulStep(verb, rest);
        } else {
          clients.computeIfAbsent(party, p -> new RpcClient()).step(verb, rest);
        }
      }
      case 'h' -> invokeStep(party, verb, rest);
      case 'r' ->
          rawClients
              .computeIfAbsent(party, p -> connect(server.invokePort()))
              .step(verb, String.join(" ", rest));
      case 'd' -> operatorStep(party, verb, String.join(" ", rest));
      case 'l' -> addEvent(rest[0], rest[1]);
      default -> fail("unknown party: " + party);
    }
  }

  /** The Location header of the last answer that had one. */
  String location() {
    return location;
  }

  /** Starts another worker and adds it to the change log. */
  void addWorker(String name) throws Exception {
    workers.put(name, new Worker(name));
    addEvent(name, "in_service");
  }

  /**
   * Adds a worker to the change log that has come up at the address of another one, and returns
   * once the front end has it in its list.
   */
  void addWorkerAtAddressOf(String earlier, String name) throws Exception {
    long before = server.counters().get(Count.LIST_CHANGES);
    workers.put(name, workers.get(earlier));
    addEvent(name, "in_service");
    await(Count.LIST_CHANGES, before);
  }

  /** Starts another worker, and returns once the front end has it in its list. */
  void addWorkerAndAwait(String name) throws Exception {
    long before = server.counters().get(Count.LIST_CHANGES);
    addWorker(name);
    await(Count.LIST_CHANGES, before);
  }

  /** Waits until a counter is higher than {@code before}. */
  void await(Count count, long before) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_SECONDS);
    while (server.counters().get(count) <= before) {
      assertTrue(count + " did not increase", System.nanoTime() < end);
      Thread.sleep(1);
    }
  }

  /**
   * Sends call number {@code i} of a mix of immediate and deferred calls of both classes. The
   * result is the status of the final answer.
   */
  CompletableFuture<String> sendMixedCall(int i) {
    boolean deferred = i % 2 == 0;
    String base = "http://" + LOOPBACK + ":" + server.invokePort();
    HttpRequest.Builder request =
        HttpRequest.newBuilder(
                URI.create(base + "/v1/functions/7f3a9c21e0b4d65" + i % 8 + "/invocations"))
            .header("Invoke-Class", i % 3 == 0 ? "slot-change" : "date-lookup")
            .header("Invoke-Tenant", "central-council")
            .header("Idempotency-Key", "key-" + i)
            .POST(HttpRequest.BodyPublishers.ofString("call " + i));
    if (deferred) {
      request.header("Prefer", "respond-async");
    }
    return http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofString())
        .thenCompose(
            x ->
                x.statusCode() != 202
                    ? CompletableFuture.completedFuture(x)
                    : http.sendAsync(
                        HttpRequest.newBuilder(
                                URI.create(base + x.headers().firstValue("Location").orElseThrow()))
                            .header("Prefer", "wait=9")
                            .build(),
                        HttpResponse.BodyHandlers.ofString()))
        .thenApply(x -> Integer.toString(x.statusCode()));
  }

  /** The worker of this name. */
  Worker worker(String name) {
    return workers.get(name);
  }

  // ---------------------------------------------------------------- workers

  private void workerStep(String name, String verb, String[] words) throws Exception {
    Worker worker = workers.get(name);
    switch (verb) {
      case "expect" -> worker.expect(words);
      case "send" -> worker.send(words);
      case "close" -> worker.close();
      case "wait" ->
          assertTrue(
              "unexpected command",
              worker.commands.poll(Long.parseLong(words[0]), TimeUnit.MILLISECONDS) == null);
      default -> fail("unknown verb: " + verb);
    }
  }

  /** A command that a worker has received, and the connection to answer it on. */
  record Command(List<String> words, Socket from) {}

  /** A stand-in for a worker. It only records commands unless it is set to answer them. */
  static final class Worker {
    final ServerSocket listener;
    final BlockingQueue<Command> commands = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new ArrayList<>();
    private Command last;
    private Command previous;

    /** Whether the worker answers every call, preload command and probe at once. */
    volatile boolean answersAll;

    /** Whether the worker accepts commands without answering them. */
    volatile boolean answersNothing;

    /** The number of probes received while {@link #answersAll} is set. */
    final AtomicInteger probes = new AtomicInteger();

    /** The number of calls and preload commands received. */
    final AtomicInteger receivedWork = new AtomicInteger();

    /** Handles the commands instead of the worker; null for none. */
    volatile Consumer<Command> handler;

    /** The body of the automatic answers; null to send back the body of the call. */
    volatile String answerBody;

    /**
     * Connections that fill the backlog of a worker whose name ends in -held, so that no other
     * connection is established.
     */
    private final List<Socket> fillers = new ArrayList<>();

    /**
     * Starts listening.
     *
     * @param name a worker whose name ends in -down refuses connections; one whose name ends in
     *     -held does not accept any until it gets the step {@code send up}
     */
    Worker(String name) throws IOException {
      boolean held = name.endsWith("-held");
      listener = new ServerSocket(0, held ? 1 : 50, InetAddress.getByName(LOOPBACK));
      if (name.endsWith("-down")) {
        listener.close();
      } else if (held) {
        try {
          while (true) {
            Socket filler = new Socket();
            fillers.add(filler);
            filler.connect(listener.getLocalSocketAddress(), BACKLOG_FULL_MILLIS);
          }
        } catch (java.net.SocketTimeoutException e) {
          // The backlog is full.
        }
      } else {
        acceptConnections();
      }
    }

    /** Frees the backlog and accepts connections. */
    void acceptConnections() {
      daemon(
          () -> {
            for (Socket filler : fillers) {
              filler.close();
            }
            while (true) {
              Socket s = listener.accept();
              sockets.add(s);
              daemon(() -> read(s));
            }
          });
    }

    /** Reads commands from a connection, and answers them if the worker is set to. */
    private void read(Socket s) throws IOException {
      DataInputStream in = new DataInputStream(new java.io.BufferedInputStream(s.getInputStream()));
      while (true) {
        List<String> words = new ArrayList<>();
        for (int n = Integer.parseInt(line(in).substring(1)); n > 0; n--) {
          words.add(
              new String(
                  in.readNBytes(Integer.parseInt(line(in).substring(1))),
                  StandardCharsets.ISO_8859_1));
          line(in);
        }
        Command command = new Command(words, s);
        receivedWork.addAndGet(words.get(0).equals("RUN") || words.get(0).equals("HOLD") ? 1 : 0);
        if (handler != null && !answersNothing) {
          handler.accept(command);
          continue;
        }
        if (answersAll && !answersNothing && words.get(0).equals("RUN")) {
          answer(command, "200", "n=w", answerBody != null ? answerBody : words.get(3));
        } else if (answersAll && !answersNothing && words.get(0).equals("HOLD")) {
          answer(command, "200", "pods=1", "");
        } else if (answersAll && words.get(0).equals("INFO")) {
          probes.incrementAndGet();
          if (!answersNothing) {
            answer(command, "alive", "util:0.1", "");
          }
        }
        commands.add(command);
      }
    }

    private static String line(DataInputStream in) throws IOException {
      StringBuilder line = new StringBuilder();
      for (int c; (c = in.read()) != '\r'; ) {
        if (c < 0) {
          throw new IOException("closed");
        }
        line.append((char) c);
      }
      in.read();
      return line.toString();
    }

    /** Waits for the next command, which must contain these words. */
    void expect(String... words) throws InterruptedException {
      previous = last;
      last = commands.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertNotNull("no command arrived", last);
      String all = String.join(" ", last.words);
      for (String word : words) {
        assertTrue(all + " lacks " + word, all.contains(word));
      }
    }

    /**
     * Answers the last command with a status, fields and a body. Other forms: {@code previous} and
     * a status answers the command before the last; {@code raw} sends bytes in hex; {@code unknown}
     * and a status sends an answer to an unknown call; {@code reset} resets the connection of the
     * last command, as when a process dies; {@code up} accepts connections.
     */
    void send(String... words) throws IOException {
      if (words[0].equals("previous")) {
        answer(previous, words[1], "-", "");
      } else if (words[0].equals("raw")) {
        last.from.getOutputStream().write(HexFormat.of().parseHex(words[1]));
      } else if (words[0].equals("up")) {
        acceptConnections();
      } else if (words[0].equals("reset")) {
        last.from.setSoLinger(true, 0);
        last.from.close();
      } else if (words[0].equals("unknown")) {
        answer(
            new Command(List.of("RUN", "00000000000000aa"), last.from), words[1], "-", "not yours");
      } else {
        answer(last, words[0], words.length > 1 ? words[1] : "-", words.length > 2 ? words[2] : "");
      }
    }

    /** Sends an answer to a command on the connection that the command came from. */
    static void answer(Command command, String word, String fields, String body)
        throws IOException {
      StringBuilder reply = new StringBuilder("*4\r\n");
      for (String part : List.of(command.words.get(1), word, fields, body)) {
        reply.append('$').append(part.length()).append("\r\n").append(part).append("\r\n");
      }
      synchronized (command.from) {
        command
            .from
            .getOutputStream()
            .write(reply.toString().getBytes(StandardCharsets.ISO_8859_1));
      }
    }

    /** Closes the listener and every connection. */
    void close() throws IOException {
      listener.close();
      for (Socket s : sockets) {
        s.close();
      }
    }
  }

  // ---------------------------------------------------------------- platform protocol clients

  /** A client of the platform's protocol. */
  private final class RpcClient {
    private final Socket socket;
    private final MessageUnpacker in;

    /** The second half of a message whose first half was sent. */
    private byte[] rest;

    RpcClient() {
      try {
        socket = new Socket();
        // A small buffer, so that what the client does not read stays at the front end.
        socket.setReceiveBufferSize(RECEIVE_BUFFER_BYTES);
        socket.connect(new InetSocketAddress(LOOPBACK, server.rpcPort()));
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
        in = MessagePack.newDefaultUnpacker(socket.getInputStream());
      } catch (IOException e) {
        throw new AssertionError(e);
      }
    }

    void step(String verb, String[] words) throws Exception {
      switch (verb) {
        case "send" -> socket.getOutputStream().write(message(words));
        case "expect" -> {
          if (words[0].equals("close")) {
            assertEquals("still open", -1, socket.getInputStream().read());
            return;
          }
          Value received = in.unpackValue();
          // "perhaps" and an id: an answer to that call may come before what is expected.
          if (words[0].equals("perhaps")) {
            received =
                received.toString().startsWith("[1," + words[1] + ",")
                    ? in.unpackValue()
                    : received;
            words = Arrays.copyOfRange(words, 2, words.length);
          }
          for (String word : words) {
            assertTrue(received + " lacks " + word, received.toString().contains(word));
          }
        }
        case "close" -> socket.close();
        // The constructor has opened the connection.
        case "open" -> {}
        default -> fail("unknown verb: " + verb);
      }
    }

    /**
     * Encodes a message. The words are {@code id class name=value ... body=text} for a call, {@code
     * half} and a call for the first half of its bytes, {@code rest} for the second half of them,
     * {@code revoke id}, or {@code raw hex}. A field with the value {@code none} is left out.
     */
    private byte[] message(String[] words) throws IOException {
      if (words[0].equals("half")) {
        byte[] whole = message(Arrays.copyOfRange(words, 1, words.length));
        rest = Arrays.copyOfRange(whole, whole.length / 2, whole.length);
        return Arrays.copyOf(whole, whole.length / 2);
      }
      if (words[0].equals("rest")) {
        return rest;
      }
      if (words[0].equals("raw")) {
        return HexFormat.of().parseHex(words[1]);
      }
      var packer = MessagePack.newDefaultBufferPacker();
      if (words[0].equals("revoke")) {
        packer
            .packArrayHeader(3)
            .packInt(2)
            .packString("revoke")
            .packArrayHeader(1)
            .packLong(Long.parseLong(words[1]));
        return packer.toByteArray();
      }
      Map<String, String> fields =
          new HashMap<>(
              Map.of(
                  "rid",
                  "9b1f03aa5c7e2d" + Integer.toHexString(0x40 + Integer.parseInt(words[0])),
                  "budget",
                  "1500",
                  "acct",
                  "central-council",
                  "obj",
                  "7f3a9c21e0b4d655",
                  "info",
                  "memory_mb:512;lanes:2;load_ms:100"));
      if (words[1].equals("slot-change")) {
        fields.put("token", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211");
      }
      for (int i = 2; i < words.length; i++) {
        String[] pair = words[i].split("=", 2);
        fields.put(pair[0], pair[1]);
      }
      String size = fields.remove("size");
      byte[] body =
          size != null
              ? new byte[Integer.parseInt(size)]
              : fields.getOrDefault("body", "").getBytes(StandardCharsets.ISO_8859_1);
      fields.remove("body");
      fields.values().removeIf("none"::equals);
      packer
          .packArrayHeader(4)
          .packInt(0)
          .packLong(Long.parseLong(words[0]))
          .packString(words[1])
          .packArrayHeader(2)
          .packMapHeader(fields.size());
      for (Map.Entry<String, String> field : fields.entrySet()) {
        packer.packString(field.getKey()).packString(field.getValue());
      }
      packer.packBinaryHeader(body.length).writePayload(body);
      return packer.toByteArray();
    }
  }

  // ---------------------------------------------------------------- clients of the invoke API

  /**
   * Plays a step of a client of the invoke API. The words of a request are {@code METHOD path
   * Header:value ... =body}, or {@code size:n} for a body of n bytes; the path {@code @} stands for
   * the last Location.
   */
  private void invokeStep(String party, String verb, String[] words) throws Exception {
    if (verb.equals("send")) {
      HttpRequest.Builder request =
          HttpRequest.newBuilder(
              URI.create(
                  "http://"
                      + LOOPBACK
                      + ":"
                      + server.invokePort()
                      + (words[1].equals("@") ? location : words[1])));
      String body = "";
      for (int i = 2; i < words.length; i++) {
        String[] pair = words[i].split(":", 2);
        if (words[i].startsWith("=")) {
          body = words[i].substring(1);
        } else if (pair[0].equals("size")) {
          body = "x".repeat(Integer.parseInt(pair[1]));
        } else {
          request.header(pair[0], pair[1]);
        }
      }
      request.method(words[0], HttpRequest.BodyPublishers.ofString(body));
      responses.put(
          party, http.sendAsync(request.build(), HttpResponse.BodyHandlers.ofByteArray()));
    } else if (verb.equals("expect")) {
      HttpResponse<byte[]> response = responses.get(party).get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      String all =
          response.statusCode()
              + " "
              + response.headers().map()
              + " "
              + new String(response.body(), StandardCharsets.UTF_8);
      location = response.headers().firstValue("Location").orElse(location);
      for (String word : words) {
        assertTrue(all + " lacks " + word, all.contains(word));
      }
      assertTrue(all, all.startsWith(words[0]));
    } else if (verb.equals("close")) {
      responses.get(party).cancel(true);
    }
  }

  /**
   * A client that sends raw text: {@code open}, {@code send text}, {@code expect text|close}. In
   * the text, {@code |} stands for a line end.
   */
  private record RawClient(Socket socket) {
    void step(String verb, String text) throws IOException {
      if (verb.equals("send")) {
        socket
            .getOutputStream()
            .write(text.replace("|", "\r\n").getBytes(StandardCharsets.ISO_8859_1));
      } else if (verb.equals("expect")) {
        // Everything up to the close of the connection.
        String all =
            new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
        assertTrue(
            all + " lacks " + text, text.equals("close") ? all.isEmpty() : all.contains(text));
      }
    }
  }

  private static RawClient connect(int port) {
    try {
      Socket socket = new Socket(LOOPBACK, port);
      socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_SECONDS));
      return new RawClient(socket);
    } catch (IOException e) {
      throw new AssertionError(e);
    }
  }

  /**
   * Plays a step of a client of the operator interface of the front end started last: {@code send
   * METHOD path} sends a request, {@code open} only connects, and {@code say text} sends raw text.
   */
  private void operatorStep(String party, String verb, String text) throws IOException {
    RawClient client = rawClients.computeIfAbsent(party, p -> connect(server.operatorPort()));
    if (verb.equals("send")) {
      client.step("send", text + " HTTP/1.1|Host: edge||");
    } else {
      client.step(verb.equals("say") ? "send" : verb, text);
    }
    // The operator interface serves one request on a connection.
    if (verb.equals("expect")) {
      rawClients.remove(party).socket.close();
    }
  }

  // ---------------------------------------------------------------- change log and Consul

  /** Adds an event for a worker, and waits until the front end has applied it. */
  void updateWorker(String worker, String state) throws Exception {
    long before = server.counters().get(Count.LIST_CHANGES);
    addEvent(worker, state);
    await(Count.LIST_CHANGES, before);
  }

  /** Adds an event for one worker to the change log; the first event is a snapshot. */
  private void addEvent(String worker, String state) {
    addEvent(events.isEmpty(), endpoint(worker, state));
  }

  /** The JSON of a worker in an event of the change log. */
  private String endpoint(String worker, String state) {
    return "{\"name\":\""
        + worker
        + "\",\"address\":\""
        + LOOPBACK
        + ":"
        + workers.get(worker).listener.getLocalPort()
        + "\",\"zone\":\""
        + zone(worker)
        + "\",\"type\":\"std-2\",\"group\":"
        + (worker.endsWith("-b") ? 1 : 0)
        + ",\"status\":\""
        + state
        + "\",\"weight\":1,\"since_ms\":0}";
  }

  private void addEvent(boolean snapshot, String endpoints) {
    synchronized (events) {
      events.add(
          "{\"seq\":"
              + (events.size() + 1)
              + ",\"fleet\":{\"snapshot\":"
              + snapshot
              + ",\"endpoints\":["
              + endpoints
              + "]}}");
      events.notifyAll();
    }
  }

  /**
   * Adds a snapshot with these workers, and waits until the front end has applied it.
   *
   * @param withUnreadable whether the snapshot also contains an unreadable line
   */
  void sendSnapshot(boolean withUnreadable, String... names) throws Exception {
    long before = server.counters().get(Count.LIST_CHANGES);
    List<String> endpoints = new ArrayList<>();
    for (String name : names) {
      endpoints.add(endpoint(name, "in_service"));
    }
    if (withUnreadable) {
      endpoints.add("{\"name\":\"w9\",\"address\":null}");
    }
    addEvent(true, String.join(",", endpoints));
    await(Count.LIST_CHANGES, before);
  }

  /** Adds unreadable events to the change log. */
  void sendUnreadableEvents(String... unreadable) {
    synchronized (events) {
      events.addAll(List.of(unreadable));
      events.notifyAll();
    }
  }

  private static String zone(String worker) {
    return worker.startsWith("w") ? "hall-a" : "hall-b";
  }

  /** The answer of the change log to a poll for the events after number {@code seen}. */
  private String changesSince(int seen) {
    synchronized (events) {
      return "{\"seq\":"
          + events.size()
          + ",\"results\":["
          + String.join(",", events.subList(Math.min(seen, events.size()), events.size()))
          + "]}";
    }
  }

  private void answerPoll(HttpExchange exchange) throws IOException {
    int since = Integer.parseInt(exchange.getRequestURI().getQuery().split("[=&]")[1]);
    synchronized (events) {
      try {
        if (events.size() <= since) {
          events.wait(POLL_MILLIS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    PollFault fault =
        exchange.getHttpContext().getServer() == discoveryServer
            ? pollFaults.poll()
            : PollFault.SILENT;
    String text = changesSince(since);
    if (fault == null) {
      reply(exchange, text);
    } else if (fault == PollFault.ERROR) {
      exchange.sendResponseHeaders(500, -1);
      exchange.close();
    } else if (fault != PollFault.SILENT) {
      exchange.sendResponseHeaders(200, text.length());
      exchange
          .getResponseBody()
          .write(text.substring(0, text.length() / 2).getBytes(StandardCharsets.UTF_8));
      exchange.getResponseBody().flush();
      if (fault == PollFault.BROKEN) {
        exchange.close();
      }
    }
  }

  /**
   * The faults of a poll of the change log: an error, half an answer and then a close, half an
   * answer and then nothing, no answer.
   */
  enum PollFault {
    ERROR,
    BROKEN,
    STALLED,
    SILENT
  }

  /** Makes the next polls of the change log fail in these ways, one after the other. */
  void failPolls(PollFault... faults) {
    pollFaults.addAll(List.of(faults));
  }

  private static void reply(HttpExchange exchange, String text) throws IOException {
    byte[] body = text.getBytes(StandardCharsets.UTF_8);
    exchange.sendResponseHeaders(200, body.length == 0 ? -1 : body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  /**
   * Plays a step of Consul: {@code send w1 critical} sets the health of a worker, {@code send w1
   * gone} removes it, and {@code expect word ...} waits for a request to the agent that contains
   * these words.
   */
  private void consulStep(String verb, String[] words) throws InterruptedException {
    if (verb.equals("expect")) {
      String request = agentRequests.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertNotNull("no request to the Consul agent", request);
      for (String word : words) {
        assertTrue(request + " lacks " + word, request.contains(word));
      }
      return;
    }
    synchronized (consulWorkers) {
      consulWorkers.removeIf(w -> w.startsWith(words[0] + " "));
      if (!words[1].equals("gone")) {
        consulWorkers.add(words[0] + " " + words[1]);
      }
      consulIndex++;
      consulWorkers.notifyAll();
    }
  }

  private void answerConsul(HttpExchange exchange) throws IOException {
    String path = exchange.getRequestURI().getPath();
    if (consulFails) {
      exchange.sendResponseHeaders(500, -1);
      exchange.close();
      return;
    }
    if (path.startsWith("/v1/agent/")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      exchange.getRequestBody().transferTo(body);
      agentRequests.add(path + " " + body);
      if (path.endsWith("/register")) {
        JsonObject service =
            com.google.gson.JsonParser.parseString(body.toString()).getAsJsonObject();
        instances.put(service.get("ID").getAsString(), service);
      } else if (path.contains("/deregister/")) {
        instances.remove(path.substring(path.lastIndexOf('/') + 1));
      }
      reply(exchange, "");
      return;
    }
    // The service of the front ends themselves.
    if (path.equals("/v1/catalog/service/umberrun")) {
      com.google.gson.JsonArray found = new com.google.gson.JsonArray();
      instances.forEach(
          (id, service) -> {
            JsonObject entry = new JsonObject();
            entry.addProperty("ServiceID", id);
            entry.add("ServiceMeta", service.get("Meta"));
            found.add(entry);
          });
      reply(exchange, found.toString());
      return;
    }
    synchronized (consulWorkers) {
      boolean health = path.startsWith("/v1/health/");
      try {
        if (health
            && exchange.getRequestURI().getQuery().startsWith("index=" + consulIndex + "&")) {
          consulWorkers.wait(POLL_MILLIS);
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      List<String> lines = new ArrayList<>();
      for (String w : consulWorkers) {
        String[] words = w.split(" ");
        int port = workers.get(words[0]).listener.getLocalPort();
        lines.add(
            health
                ? "{\"Node\":{\"Address\":\"127.0.0.1\"},\"Service\":{\"ID\":\""
                    + words[0]
                    + "\",\"Address\":\"\",\"Port\":"
                    + port
                    + "},\"Checks\":[{\"Status\":\""
                    + words[1]
                    + "\"}]}"
                : "{\"ServiceID\":\""
                    + words[0]
                    + "\",\"ServiceMeta\":{\"zone\":\""
                    + zone(words[0])
                    + "\",\"kind\":\"std-2\"}}");
      }
      exchange.getResponseHeaders().add("X-Consul-Index", Integer.toString(consulIndex));
      reply(exchange, "[" + String.join(",", lines) + "]");
    }
  }

  // ---------------------------------------------------------------- threads

  /** A task that may fail with an I/O error. */
  interface IoTask {
    void run() throws IOException;
  }

  /** What a test does while a front end is blocked. */
  interface Check {
    void run() throws Exception;
  }

  /** Runs a task on a daemon thread; an I/O error ends it silently. */
  static Thread daemon(IoTask task) {
    Thread t =
        new Thread(
            () -> {
              try {
                task.run();
              } catch (IOException e) {
                // The peer has closed the connection.
              }
            });
    t.setDaemon(true);
    t.start();
    return t;
  }

  @Override
  public void close() throws Exception {
    for (Server s : servers) {
      s.close().toCompletionStage().toCompletableFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }
    for (Worker w : workers.values()) {
      w.close();
    }
    discoveryServer.stop(0);
  }
}
