-- Test helpers for scenarios, built on the native functions of the runner (runner_bindings.cpp).

OPERATOR_KEY = "operator-key-of-the-scenarios"
PEER_SECRET = "peer-secret-of-the-scenarios"

-- Fails the scenario unless `condition` holds.
function expect(condition, message)
    if not condition then error("expected: " .. message, 2) end
end

-- Waits for `condition` to return a true value and returns it; fails after `seconds`, the bound.
function eventually(seconds, message, condition)
    local until_time = now() + seconds
    while true do
        local value = condition()
        if value then return value end
        if now() > until_time then error("not true within " .. seconds .. " s: " .. message, 2) end
        wait_poll_interval()
    end
end

-- Polls `condition` for `seconds` and fails the scenario when it is false at any poll.
function always(seconds, message, condition)
    local until_time = now() + seconds
    while now() < until_time do
        if not condition() then error("did not stay true: " .. message, 2) end
        wait_poll_interval()
    end
end

function run_for(seconds)
    local until_time = now() + seconds
    while now() < until_time do wait_poll_interval() end
end

SHEET_HEADER = "record,name,rate_per_second,burst,weight,kind,model,access,idempotent,timeout_ms,batch_reserve_percent\n"

-- Returns the CSV text of a configuration sheet with the given zones, customers, models and routes.
function make_sheet(t)
    local rows = {SHEET_HEADER}
    local function add(...) rows[#rows + 1] = table.concat({...}, ",") .. "\n" end
    for _, zone in ipairs(t.zones) do add("availability_zone", zone, "", "", "", "", "", "", "", "", "") end
    for _, c in ipairs(t.customers) do add("customer", c.name, c.rate, c.burst, c.weight or 1, "", "", "", "", "", "") end
    for _, m in ipairs(t.models) do add("model", m.name, "", "", "", "", "", "", "", "", m.reserve or 20) end
    for _, r in ipairs(t.routes) do
        add("route", r.name, "", "", "", r.kind or "model", r.model or "", r.access or "keyed",
            r.idempotent and "yes" or "no", r.timeout_ms or 20000, "")
    end
    return table.concat(rows)
end

Fleet = {}
Fleet.__index = Fleet

-- Describes a fleet without starting it; boot() does that. Options:
--   zones, services: lists of names; hosts_per_zone, engines_per_zone: 1 by default
--   engine, daemon: command-line options of the simulated engines and of the daemons
--   model: the model that the engines serve; data_dirs: false to run the hosts without --data-dir
function Fleet.new(options)
    local f = setmetatable({options = options, hosts = {}, targets = {}, host_names = {}, target_names = {}}, Fleet)
    local zones = options.zones
    local per_zone = options.hosts_per_zone or 1
    local engines = options.engines_per_zone or 1
    local services = options.services or {}
    local ports = free_ports(1 + #zones * (2 * per_zone + engines) + #services)
    local next_port = 0
    local function port() next_port = next_port + 1; return ports[next_port] end
    f.platform_port = port()
    f.model = options.model or "intake-lm"
    for _, zone in ipairs(zones) do
        for i = 1, per_zone do
            local name = zone .. "-h" .. i
            f.hosts[name] = {name = name, zone = zone, http = port(), peer = port(), kind = "entry"}
            f.host_names[#f.host_names + 1] = name
        end
        for i = 1, engines do
            local name = zone .. "-e" .. i
            f.targets[name] = {name = name, zone = zone, http = port(), kind = "engine", serves = {f.model}}
            f.target_names[#f.target_names + 1] = name
        end
    end
    for i, service in ipairs(services) do
        local name = "service-" .. service
        f.targets[name] = {name = name, zone = zones[(i - 1) % #zones + 1], http = port(), kind = "service", serves = {service}}
        f.target_names[#f.target_names + 1] = name
    end
    return f
end

function Fleet:platform_url() return "http://127.0.0.1:" .. self.platform_port end

function Fleet:url(name)
    local h = self.hosts[name] or self.targets[name]
    return "http://127.0.0.1:" .. h.http
end

-- Sets the faults of `name`, a target or "platform". Targets reset all faults that are left out.
function Fleet:control(name, faults)
    local url = name == "platform" and self:platform_url() or self:url(name)
    local answer = http{url = url .. "/control", method = "POST", body = next(faults) and json_encode(faults) or "{}", timeout = 5}
    expect(answer.status == 200, "the faults of " .. name .. " are set")
end

function Fleet:record(name)
    local answer = http{url = self:url(name) .. "/control/record"}
    return json_decode(answer.body)
end

function Fleet:start_host(name)
    local h = self.hosts[name]
    h.drop_list_path = write_file(name .. ".drop", h.drop_list or "")
    local seeds = {}
    for _, other in ipairs(self.host_names) do
        local o = self.hosts[other]
        if other ~= name and o.zone == h.zone then seeds[#seeds + 1] = "127.0.0.1:" .. o.peer end
    end
    local arguments = {
        "--host", name, "--availability-zone", h.zone, "--http-port", h.http, "--peer-port", h.peer,
        "--platform-url", self:platform_url(), "--peer-secret", PEER_SECRET,
        "--operator-key", OPERATOR_KEY, "--timeline", run_dir() .. "/" .. name .. ".timeline",
        "--drop-list", h.drop_list_path}
    local function add(flag, value) arguments[#arguments + 1] = flag; arguments[#arguments + 1] = tostring(value) end
    if #seeds > 0 then add("--seed-peers", table.concat(seeds, ",")) end
    if self.options.data_dirs ~= false then add("--data-dir", run_dir() .. "/" .. name .. ".data") end
    local settings = {["gossip-interval-ms"] = 250, ["drain-ms"] = 1500}
    for flag, value in pairs(self.options.daemon or {}) do settings[flag] = value end
    for flag, value in pairs(settings) do add("--" .. flag, value) end
    start(name, h.program or "eelgrassdoord", arguments)
    h.running = true
end

function Fleet:start_target(name)
    local t = self.targets[name]
    if t.kind == "service" then
        start(name, "test/fake_service", {"--port", t.http, "--name", name})
        return
    end
    local arguments = {"--port", t.http, "--name", name, "--timeline", run_dir() .. "/" .. name .. ".timeline"}
    for flag, value in pairs(self.options.engine or {}) do
        arguments[#arguments + 1] = "--" .. flag
        arguments[#arguments + 1] = tostring(value)
    end
    for flag, value in pairs(t.engine or {}) do
        arguments[#arguments + 1] = "--" .. flag
        arguments[#arguments + 1] = tostring(value)
    end
    start(name, "test/fake_engine", arguments)
end

-- Publishes the host list without entries that are `unlisted`; marks those that are `leaving`.
function Fleet:publish_hosts()
    local list = {}
    local function add(h)
        if not h.unlisted then
            list[#list + 1] = {host = h.name, availability_zone = h.zone, kind = h.kind, address = "127.0.0.1",
                http_port = h.http, peer_port = h.peer or 0, state = h.leaving and "leaving" or "live",
                serves = h.serves or {}}
        end
    end
    for _, name in ipairs(self.host_names) do add(self.hosts[name]) end
    for _, name in ipairs(self.target_names) do add(self.targets[name]) end
    local answer = http{url = self:platform_url() .. "/hosts/set", method = "POST", body = json_encode(list)}
    expect(answer.status == 200, "the host list is published")
end

function Fleet:admin(method, path, body, host)
    return http{url = self:url(host or self.host_names[1]) .. "/admin/v1" .. path, method = method, body = body or "",
        type = "text/csv", headers = {Authorization = "Bearer " .. OPERATOR_KEY, ["X-Operator"] = "scenario"},
        timeout = 20}
end

-- Returns the version in force on `host`, or 0 when it does not respond.
function Fleet:version(host)
    local answer = self:admin("GET", "/config/status", "", host)
    if answer.status ~= 200 then return 0 end
    return json_decode(answer.body).hosts[1].version
end

function Fleet:ready(name)
    return http{url = self:url(name) .. "/readyz", timeout = 2}.status == 200
end

-- Applies `sheet` on top of the current version and returns the new version.
function Fleet:apply(sheet, host)
    local current = json_decode(self:admin("GET", "/sheet", "", host).body)
    local answer = self:admin("POST", "/sheet?from_version=" .. current.version, sheet, host)
    expect(answer.status == 200, "the sheet is accepted: " .. answer.body)
    return json_decode(answer.body).version
end

-- Creates an API key; returns its id, the key and the configuration version that contains it.
function Fleet:add_key(customer, host)
    local answer = self:admin("POST", "/keys", json_encode{customer = customer}, host)
    expect(answer.status == 200, "an API key is created: " .. answer.body)
    local key = json_decode(answer.body)
    return key.id, key.key, key.version
end

-- Withdraws an API key and returns the configuration version without it.
function Fleet:withdraw_key(id, host)
    local answer = self:admin("POST", "/keys/" .. id .. "/withdraw", "", host)
    expect(answer.status == 200, "the API key is withdrawn: " .. answer.body)
    return json_decode(answer.body).version
end

-- Starts all processes, applies the sheet and waits until every host is ready.
function Fleet:boot(sheet)
    start("platform", "test/fake_platform", {"--port", self.platform_port})
    eventually(10, "the platform accepts requests", function()
        return http{url = self:platform_url() .. "/control/stats", timeout = 1}.status == 200
    end)
    for _, name in ipairs(self.target_names) do self:start_target(name) end
    self:publish_hosts()
    for _, name in ipairs(self.host_names) do self:start_host(name) end
    for _, name in ipairs(self.host_names) do
        eventually(10, name .. " accepts requests", function()
            return http{url = self:url(name) .. "/healthz", timeout = 1}.status == 200
        end)
    end
    self:apply(sheet)
    self:wait_version(self:version(self.host_names[1]))
    for _, name in ipairs(self.host_names) do
        eventually(8, name .. " is ready", function() return self:ready(name) end)
    end
    self:wait_limit_holders()
end

-- Waits until every running host has configuration `version` or a later one.
function Fleet:wait_version(version, seconds)
    for _, name in ipairs(self.host_names) do
        if self.hosts[name].running then
            eventually(seconds or 8, "configuration version " .. version .. " is in force on " .. name,
                function() return self:version(name) >= version end)
        end
    end
end

-- Waits until every host knows the holders of all rate-limit slots, two per zone.
function Fleet:wait_limit_holders()
    eventually(15, "every rate-limit slot has a holder", function()
        for _, name in ipairs(self.host_names) do
            if self:metric(name, "limit_holders") < 2 * #self.options.zones then return false end
        end
        return true
    end)
end

-- Returns the value of a metric, or 0 when it is absent.
function Fleet:metric(host, name)
    local answer = http{url = self:url(host) .. "/metrics", timeout = 2}
    local pattern = "\n" .. name:gsub("%p", "%%%0") .. " ([%d%.e+-]+)"
    return tonumber(("\n" .. answer.body):match(pattern)) or 0
end

function Fleet:kill(name) signal(name, "KILL"); if self.hosts[name] then self.hosts[name].running = false end end
function Fleet:freeze(name) signal(name, "STOP") end
function Fleet:thaw(name) signal(name, "CONT") end
function Fleet:stop(name) signal(name, "TERM") end

-- Returns an unsent request. `options`: model, prompt, max_tokens, stream, headers, timeout.
function Fleet:completion_request(host, key, options)
    options = options or {}
    local headers = options.headers or {}
    if key then headers.Authorization = "Bearer " .. key end
    local body = {model = options.model or self.model, prompt = options.prompt or "grade of lot 7",
        max_tokens = options.max_tokens or 4, stream = options.stream or false}
    return {url = self:url(host) .. "/v1/completions", method = "POST", headers = headers,
        body = json_encode(body), timeout = options.timeout or 30}
end

function Fleet:complete(host, key, options) return http(self:completion_request(host, key, options)) end

-- Calls a service route. `options` may set path, method, headers, body and timeout.
function Fleet:call(host, key, route, options)
    options = options or {}
    local headers = options.headers or {}
    if key then headers.Authorization = "Bearer " .. key end
    return http{url = self:url(host) .. "/r/" .. route .. (options.path or "/"), method = options.method or "POST",
        headers = headers, body = options.body or "{}", timeout = options.timeout or 30}
end

-- Submits a batch job of JSON lines. `options` may set idempotency_key and timeout.
function Fleet:submit(host, key, lines, options)
    options = options or {}
    local headers = {Authorization = "Bearer " .. key}
    if options.idempotency_key then headers["Idempotency-Key"] = options.idempotency_key end
    return http{url = self:url(host) .. "/v1/batches", method = "POST", headers = headers,
        body = table.concat(lines, "\n") .. "\n", type = "application/jsonl", timeout = options.timeout or 30}
end

-- Returns the status of a batch job, empty when it is not JSON, and the HTTP response.
function Fleet:job(host, key, id)
    local answer = http{url = self:url(host) .. "/v1/batches/" .. id, headers = {Authorization = "Bearer " .. key}}
    return json_decode(answer.body) or {}, answer
end

function Fleet:cancel_job(host, key, id)
    return http{url = self:url(host) .. "/v1/batches/" .. id .. "/cancel", method = "POST",
        headers = {Authorization = "Bearer " .. key}}
end

-- Returns results by custom_id and their number, or nil and the response; fails on duplicates.
function Fleet:results(host, key, id)
    local answer = http{url = self:url(host) .. "/v1/batches/" .. id .. "/results",
        headers = {Authorization = "Bearer " .. key}}
    if answer.status ~= 200 then return nil, answer end
    local by_id, count = {}, 0
    for line in answer.body:gmatch("[^\n]+") do
        local item = json_decode(line)
        expect(item ~= nil and item.custom_id ~= nil, "a result is JSON with a custom_id: " .. line)
        expect(by_id[item.custom_id] == nil, "at most one result for " .. item.custom_id)
        by_id[item.custom_id] = item
        count = count + 1
    end
    return by_id, count
end

-- Returns `count` batch items as JSON lines. `options` may set model, prompt and max_tokens.
function batch_lines(count, options)
    local lines = {}
    for i = 1, count do
        lines[i] = json_encode{custom_id = "item-" .. i, method = "POST", url = "/v1/completions",
            body = {model = (options or {}).model or "intake-lm", prompt = ((options or {}).prompt or "settlement ") .. i,
                max_tokens = (options or {}).max_tokens or 3}}
    end
    return lines
end

-- Blocks traffic between hosts `a` and hosts, targets or "platform" in `b`: all of it, or only that
-- in the `direction` "in" or "out" as seen from `a`.
function Fleet:cut(a, b, direction)
    local function endpoint(name)
        if name == "platform" then return "127.0.0.1:" .. self.platform_port end
        if self.hosts[name] then return "127.0.0.1:" .. self.hosts[name].peer end
        return "127.0.0.1:" .. self.targets[name].http
    end
    local function block(host, other, blocked_direction)
        local h = self.hosts[host]
        h.drop_list = (h.drop_list or "") .. blocked_direction .. " " .. endpoint(other) .. "\n"
        write_file(host .. ".drop", h.drop_list)
    end
    for _, x in ipairs(a) do
        for _, y in ipairs(b) do
            if direction ~= "in" then block(x, y, "out") end
            if direction ~= "out" then block(x, y, "in") end
            if self.hosts[y] then
                if direction ~= "in" then block(y, x, "in") end
                if direction ~= "out" then block(y, x, "out") end
            end
        end
    end
end

function Fleet:heal()
    for _, name in ipairs(self.host_names) do
        self.hosts[name].drop_list = ""
        write_file(name .. ".drop", "")
    end
end

function Fleet:in_zone(zone)
    local out = {}
    for _, n in ipairs(self.host_names) do if self.hosts[n].zone == zone then out[#out + 1] = n end end
    return out
end

-- Returns host and target names; in_zone() returns host names only.
function Fleet:outside_zone(zone)
    local out = {}
    for _, n in ipairs(self.host_names) do if self.hosts[n].zone ~= zone then out[#out + 1] = n end end
    for _, n in ipairs(self.target_names) do if self.targets[n].zone ~= zone then out[#out + 1] = n end end
    return out
end

-- Returns the events with this name in the timeline of one process.
function timeline_events(host, name)
    local out = {}
    for line in (read_file(run_dir() .. "/" .. host .. ".timeline") or ""):gmatch("[^\n]+") do
        local event = json_decode(line)
        if event and event.name == name then out[#out + 1] = event end
    end
    return out
end

-- Returns a sheet with a keyed and an open model route and a route to each service, idempotent when
-- its name contains "read". `options` may set customers (four by default) and reserve.
function default_sheet(fleet, options)
    options = options or {}
    local customers = options.customers or {
        {name = "trust-gate", rate = 200, burst = 100}, {name = "trust-accounts", rate = 200, burst = 100},
        {name = "atlas-sites", rate = 200, burst = 100}, {name = "atlas-planning", rate = 200, burst = 100}}
    local routes = {
        {name = fleet.model, model = fleet.model, idempotent = true},
        {name = "public-hours", model = fleet.model, access = "open", idempotent = true}}
    for _, s in ipairs(fleet.options.services or {}) do
        routes[#routes + 1] = {name = s, kind = "service", idempotent = s:find("read") ~= nil}
    end
    return make_sheet{zones = fleet.options.zones, customers = customers,
        models = {{name = fleet.model, reserve = options.reserve or 20}}, routes = routes}
end
